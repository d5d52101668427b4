package org.comfreywall.control.state;

import org.comfreywall.common.util.Bytes;

/**
 * A deterministic part of the replicated state machine with its own commands.
 * <p>
 * The same commands in the same order must give the same answers and the same snapshot on
 * every instance: no clock, no randomness and no iteration over unordered collections.
 * Time passes only through the {@link LogTime} handed in. A command may be delivered
 * twice if its answer was lost, so commands must be idempotent. The state must be
 * bounded. Called on one thread only.
 */
public interface Ledger {

	/**
	 * Returns the name by which commands are addressed to this ledger.
	 * @return the name, in lower case with dashes; never changes
	 */
	String name();

	/**
	 * Applies a committed command.
	 * @param time the log time of the command, never before that of an earlier one
	 * @param command the encoded command; a malformed one must be answered, not thrown
	 * @return the encoded answer
	 */
	Bytes apply(LogTime time, Bytes command);

	/**
	 * Answers a query from the present state without changing it.
	 * @param query the encoded query; a malformed one must be answered, not thrown
	 * @return the encoded answer
	 */
	Bytes query(Bytes query);

	/**
	 * Encodes the whole state.
	 * @return the encoded state, equal for equal states
	 */
	Bytes snapshot();

	/**
	 * Replaces the state by an encoded one.
	 * @param snapshot a state encoded by {@link #snapshot()}
	 * @throws IllegalArgumentException if the encoded state is malformed
	 */
	void restore(Bytes snapshot);

}
