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
 * A control instance that runs one term's coordinator and may die between any two of its
 * commands.
 */
final class FakeCoordinator {

	private final SwitchWorld world;

	private final SwitchCoordinator core;

	private long commandsLeft = Long.MAX_VALUE;

	private boolean diesBeforeCommit;

	private boolean diesAfterCommit;

	private boolean alive = true;

	FakeCoordinator(SwitchWorld world, Term term) {
		this.world = world;
		this.core = new SwitchCoordinator("group", term, world.ranks(), world.coordinatorSettings(),
				DecisionListener.NONE, world.invariants());
	}

	void start() {
		handle(new CoordinatorStarted());
	}

	SwitchCoordinator core() {
		return this.core;
	}

	boolean isAlive() {
		return this.alive;
	}

	void dieAfter(long commands) {
		this.commandsLeft = commands;
	}

	void dieBeforeCommit() {
		this.diesBeforeCommit = true;
	}

	void dieAfterCommit() {
		this.diesAfterCommit = true;
	}

	void die() {
		this.alive = false;
	}

	void handle(CoordinatorEvent event) {
		if (!this.alive) {
			return;
		}
		for (CoordinatorCommand command : this.core.handle(event, this.world.queue().now())) {
			carryOut(command);
		}
	}

	private void carryOut(CoordinatorCommand command) {
		boolean commit = command instanceof WriteLedger write && write.write() instanceof CommitSwitch;
		if (this.commandsLeft <= 0 || (commit && this.diesBeforeCommit)) {
			die();
		}
		if (!this.alive) {
			return;
		}
		this.commandsLeft--;
		if (command instanceof SendOrder send) {
			this.world.order(send);
		}
		else if (command instanceof WriteLedger write) {
			this.world.write(this, write.write());
		}
		else if (command instanceof SwitchEnded ended) {
			this.world.ended(ended);
		}
		if (commit && this.diesAfterCommit) {
			die();
		}
	}

}
