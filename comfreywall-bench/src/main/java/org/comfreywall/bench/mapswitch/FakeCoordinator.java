package org.comfreywall.bench.mapswitch;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.Term;
import org.comfreywall.group.mapswitch.CommitSwitch;
import org.comfreywall.group.mapswitch.CoordinatorCommand;
import org.comfreywall.group.mapswitch.CoordinatorEvent;
import org.comfreywall.group.mapswitch.CoordinatorStarted;
import org.comfreywall.group.mapswitch.SendOrder;
import org.comfreywall.group.mapswitch.SwitchCoordinator;
import org.comfreywall.group.mapswitch.SwitchEnded;
import org.comfreywall.group.mapswitch.WriteLedger;

/**
 * Runs the {@link SwitchCoordinator} of one term and executes its commands. It can be
 * made to crash between any two commands.
 */
final class FakeCoordinator {

	private final SwitchSimulation simulation;

	private final SwitchCoordinator coordinator;

	private long commandsUntilCrash = Long.MAX_VALUE;

	private boolean crashesBeforeCommit;

	private boolean crashesAfterCommit;

	private boolean alive = true;

	FakeCoordinator(SwitchSimulation simulation, Term term) {
		this.simulation = simulation;
		this.coordinator = new SwitchCoordinator("group", term, simulation.ranks(), simulation.coordinatorSettings(),
				DecisionListener.NONE, simulation.invariants());
	}

	void start() {
		handle(new CoordinatorStarted());
	}

	SwitchCoordinator coordinator() {
		return this.coordinator;
	}

	boolean isAlive() {
		return this.alive;
	}

	/**
	 * Schedules a crash.
	 * @param commands the number of further commands to execute before the crash
	 */
	void crashAfterCommands(long commands) {
		this.commandsUntilCrash = commands;
	}

	void crashBeforeCommit() {
		this.crashesBeforeCommit = true;
	}

	void crashAfterCommit() {
		this.crashesAfterCommit = true;
	}

	void crash() {
		this.alive = false;
	}

	void handle(CoordinatorEvent event) {
		if (!this.alive) {
			return;
		}
		for (CoordinatorCommand command : this.coordinator.handle(event, this.simulation.queue().now())) {
			execute(command);
		}
	}

	private void execute(CoordinatorCommand command) {
		boolean commit = command instanceof WriteLedger write && write.write() instanceof CommitSwitch;
		if (this.commandsUntilCrash <= 0 || (commit && this.crashesBeforeCommit)) {
			crash();
		}
		if (!this.alive) {
			return;
		}
		this.commandsUntilCrash--;
		if (command instanceof SendOrder send) {
			this.simulation.sendOrder(send);
		}
		else if (command instanceof WriteLedger write) {
			this.simulation.sendWrite(this, write.write());
		}
		else if (command instanceof SwitchEnded ended) {
			this.simulation.recordSwitchEnd(ended);
		}
		if (commit && this.crashesAfterCommit) {
			crash();
		}
	}

}
