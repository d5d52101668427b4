package org.comfreywall.control.state;

import org.comfreywall.common.util.Bytes;

/**
 * A deterministic part of the replicated state machine with its own commands.
 * <p>
 * The same commands in the same order must produce the same answers and the same snapshot
 * on every instance: an implementation must not use a clock, randomness or the iteration
 * order of unordered collections. Its only source of time is the {@link LogTime} passed
 * in. A command may be delivered twice if its answer was lost, so commands must be
 * idempotent. The size of the state must be bounded. All methods are called on one
 * thread.
 */
public interface Ledger {

	/**
	 * Returns the name that {@link LedgerCommand} uses to address this ledger.
	 * @return the name, in lower case with dashes; stored in the log and in snapshots, so
	 * it must never change
	 */
	String name();

	/**
	 * Applies a committed command.
	 * @param time the log time of the command, at least that of the previous command
	 * @param command the encoded command; a malformed one must get an error answer, not
	 * an exception
	 * @return the encoded answer
	 */
	Bytes apply(LogTime time, Bytes command);

	/**
	 * Answers a query from the current state without changing it.
	 * @param query the encoded query; a malformed one must get an error answer, not an
	 * exception
	 * @return the encoded answer
	 */
	Bytes query(Bytes query);

	/**
	 * Encodes the whole state.
	 * @return the encoded state, equal for equal states
	 */
	Bytes snapshot();

	/**
	 * Replaces the whole state with an encoded one.
	 * @param snapshot a state encoded by {@link #snapshot()}
	 * @throws IllegalArgumentException if the encoded state is malformed
	 */
	void restore(Bytes snapshot);

}
