package org.comfreywall.daemon.control;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.result.Result;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.SlotReservations;

/**
 * Stores reservations of in-flight slots in the replicated log.
 */
final class ReplicatedReservations implements ReservationPort {

	private final Supplier<ControlNode> node;

	private final SlotReservations reservations;

	ReplicatedReservations(Supplier<ControlNode> node, SlotReservations reservations) {
		this.node = node;
		this.reservations = reservations;
	}

	@Override
	public CompletionStage<Result<Map<AccountId, Long>>> load() {
		return this.node.get().read((machine) -> this.reservations.reservations());
	}

	@Override
	public CompletionStage<Boolean> reserve(AccountId account, long slots) {
		LedgerCommand command = new LedgerCommand(SlotReservations.NAME, SlotReservations.reserve(account, slots));
		return this.node.get()
			.propose(command.encode())
			.thenApply((result) -> result.value().filter(SlotReservations::isDone).isPresent());
	}

}
