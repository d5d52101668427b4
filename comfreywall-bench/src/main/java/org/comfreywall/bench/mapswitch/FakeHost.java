package org.comfreywall.bench.mapswitch;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.mapswitch.AgentCommand;
import org.comfreywall.group.mapswitch.AgentEvent;
import org.comfreywall.group.mapswitch.AgentOrder;
import org.comfreywall.group.mapswitch.AgentTick;
import org.comfreywall.group.mapswitch.Member;
import org.comfreywall.group.mapswitch.OrderReceived;
import org.comfreywall.group.mapswitch.SendReport;
import org.comfreywall.group.mapswitch.SwitchAgent;

/**
 * A backend server with an engine and, beside it, an agent that may restart alone.
 */
final class FakeHost implements EngineEnvironment {

	/** Delay between engine and agent on one instance. */
	private static final long LOCAL_NANOS = 50_000;

	private final SwitchWorld world;

	private final int rank;

	private final BackendServerId server;

	private final FakeEngine engine;

	private long incarnation;

	private SwitchAgent agent;

	private int session;

	private long frozenAt = Long.MAX_VALUE;

	FakeHost(SwitchWorld world, int rank, String name, int ahead, boolean checksFencing) {
		this.world = world;
		this.rank = rank;
		this.server = BackendServerId.of(name);
		this.engine = new FakeEngine(this, ahead, checksFencing);
	}

	BackendServerId server() {
		return this.server;
	}

	Member member() {
		return new Member(this.server, Incarnation.of(this.incarnation));
	}

	void startSidecar() {
		this.incarnation++;
		this.agent = new SwitchAgent(this.rank, member(), this.world.agentSettings(), DecisionListener.NONE,
				this.world.invariants());
		int mine = this.session;
		this.engine.connect((event) -> this.world.queue().after(LOCAL_NANOS, () -> handle(mine, event)));
	}

	void stopSidecar() {
		this.session++;
		this.agent = null;
		this.engine.disconnect();
	}

	void freeze() {
		this.frozenAt = this.world.lockStep().completed();
	}

	boolean isFrozen() {
		return this.frozenAt != Long.MAX_VALUE;
	}

	void receive(Member addressee, AgentOrder order) {
		handle(this.session, new OrderReceived(addressee, order));
	}

	void tick() {
		handle(this.session, new AgentTick());
	}

	void stepCompleted() {
		this.engine.stepCompleted();
	}

	@Override
	public long now() {
		return this.world.queue().now();
	}

	@Override
	public long completed() {
		return Math.min(this.frozenAt, this.world.lockStep().completed());
	}

	@Override
	public void started(long step, Optional<MapRef> weights, long waitedNanos) {
		if (!isFrozen()) {
			this.world.started(this.rank, step, weights, waitedNanos, this);
		}
	}

	@Override
	public void load(Runnable done) {
		this.world.queue().after(this.world.loadNanos(), done);
	}

	private void handle(int eventSession, AgentEvent event) {
		if (eventSession != this.session || this.agent == null) {
			return;
		}
		List<AgentCommand> commands = this.agent.handle(event, now());
		for (AgentCommand command : commands) {
			if (command instanceof SendReport report) {
				this.world.report(this.rank, report.report());
			}
			else {
				this.world.queue().after(LOCAL_NANOS, () -> obey(eventSession, command));
			}
		}
	}

	private void obey(int orderSession, AgentCommand command) {
		if (orderSession == this.session) {
			this.engine.obey(command);
		}
	}

}
