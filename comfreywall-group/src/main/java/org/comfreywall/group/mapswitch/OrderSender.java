package org.comfreywall.group.mapswitch;

import java.util.List;
import java.util.function.Function;
import java.util.function.IntPredicate;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;

/**
 * Assigns fencing numbers to a coordinator's orders and sends no decision before it is
 * durable.
 */
final class OrderSender {

	private final Term term;

	private final Invariants invariants;

	private final List<CoordinatorCommand> commands;

	private LedgerState state = LedgerState.EMPTY;

	private long lastNumber;

	OrderSender(Term term, Invariants invariants, List<CoordinatorCommand> commands) {
		this.term = term;
		this.invariants = invariants;
		this.commands = commands;
	}

	LedgerState state() {
		return this.state;
	}

	void updateState(LedgerState newer) {
		if (newer.index() >= this.state.index()) {
			this.state = newer;
		}
	}

	void send(int rank, Function<FencingNumber, AgentOrder> order) {
		send(rank, this.state.members().get(rank), order);
	}

	void sendToRanks(IntPredicate filter, Function<FencingNumber, AgentOrder> order) {
		this.state.members().keySet().stream().filter(filter::test).forEach((rank) -> send(rank, order));
	}

	void sendWelcome(int rank) {
		send(rank, (number) -> new Welcome(number, this.state.generation(), this.state.timeline(),
				this.state.lastDecided()));
	}

	void sendDismiss(int rank, Member member) {
		send(rank, member, Dismiss::new);
	}

	private void send(int rank, Member addressee, Function<FencingNumber, AgentOrder> order) {
		this.lastNumber++;
		AgentOrder numbered = order.apply(new FencingNumber(this.term, this.lastNumber));
		if (this.invariants.holds(isDurable(numbered), "decision-told-is-durable", Field.of("order", numbered))) {
			this.commands.add(new SendOrder(rank, addressee, numbered));
		}
	}

	private boolean isDurable(AgentOrder order) {
		return !(order instanceof ReleaseSwitch release)
				|| this.state.decisionOf(release.decision().id()).filter(release.decision()::equals).isPresent();
	}

}
