package org.comfreywall.control.state;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * Stores which failure domains operators have ordered to evacuate.
 * <p>
 * A command that changes the set raises the version by 1; a repeat changes nothing and
 * gets the same answer as a command that does. A command that states the version known
 * when it was given is refused if it would change the set of another version: it may have
 * been delayed while its operator gave newer orders elsewhere. Commands without a known
 * version, of which there are some in older logs, take effect in the order of the log. At
 * most {@value #MAX_DOMAINS} failure domains are evacuated at a time. Commands, answers
 * and the state are encoded by {@link EvacuationCodec}.
 */
public final class EvacuationLedger implements Ledger {

	/** The ledger's name. */
	public static final String NAME = "evacuations";

	/** Maximum number of failure domains that are evacuated at a time. */
	public static final int MAX_DOMAINS = 1_000;

	private final Consumer<EvacuationOrders> listener;

	private EvacuationOrders current = EvacuationOrders.NONE;

	/**
	 * Creates a ledger without orders.
	 * @param listener receives the orders after each change, on the control node's thread
	 */
	public EvacuationLedger(Consumer<EvacuationOrders> listener) {
		this.listener = Preconditions.notNull(listener, "listener");
	}

	@Override
	public String name() {
		return NAME;
	}

	/**
	 * Returns the current orders.
	 * @return the orders
	 */
	public EvacuationOrders current() {
		return this.current;
	}

	@Override
	public Bytes apply(LogTime time, Bytes command) {
		return EvacuationCodec.encodeAnswer(EvacuationCodec.decodeCommand(command).flatMap(this::apply));
	}

	private Optional<EvacuationAnswer> apply(EvacuationCommand command) {
		Set<String> domains = new HashSet<>(this.current.domains());
		boolean changed = command.start() ? domains.add(command.domain()) : domains.remove(command.domain());
		if (domains.size() > MAX_DOMAINS) {
			return Optional.empty();
		}
		if (changed && command.isOutdated(this.current)) {
			return Optional.of(new EvacuationAnswer(this.current, true));
		}
		if (changed) {
			this.current = new EvacuationOrders(this.current.version() + 1, domains);
			this.listener.accept(this.current);
		}
		return Optional.of(new EvacuationAnswer(this.current, false));
	}

	@Override
	public Bytes query(Bytes query) {
		return EvacuationCodec.encodeAnswer(Optional.of(new EvacuationAnswer(this.current, false)));
	}

	@Override
	public Bytes snapshot() {
		return EvacuationCodec.encodeState(this.current);
	}

	@Override
	public void restore(Bytes snapshot) {
		EvacuationOrders restored = EvacuationCodec.decodeState(snapshot);
		boolean newer = restored.replaces(this.current);
		this.current = restored;
		if (newer) {
			this.listener.accept(restored);
		}
	}

}
