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
 * A simulated backend server with a {@link FakeEngine} and a real {@link SwitchAgent}.
 * The agent belongs to the sidecar, which may restart while the engine keeps running.
 */
final class FakeHost implements EngineEnvironment {

	/** One-way delay between the engine and the agent of one backend server. */
	private static final long LOCAL_NANOS = 50_000;

	private final SwitchSimulation simulation;

	private final int rank;

	private final BackendServerId server;

	private final FakeEngine engine;

	private long incarnation;

	private SwitchAgent agent;

	/** Incremented when the sidecar stops; messages of an earlier session are dropped. */
	private int agentSession;

	/** The last step completed before the server was replaced. */
	private long detachedAtStep = Long.MAX_VALUE;

	FakeHost(SwitchSimulation simulation, int rank, String name, int stepsAhead, boolean checksFencing) {
		this.simulation = simulation;
		this.rank = rank;
		this.server = BackendServerId.of(name);
		this.engine = new FakeEngine(this, stepsAhead, checksFencing);
	}

	BackendServerId server() {
		return this.server;
	}

	Member member() {
		return new Member(this.server, Incarnation.of(this.incarnation));
	}

	void startSidecar() {
		this.incarnation++;
		this.agent = new SwitchAgent(this.rank, member(), this.simulation.agentSettings(), DecisionListener.NONE,
				this.simulation.invariants());
		int currentSession = this.agentSession;
		this.engine
			.connect((event) -> this.simulation.queue().schedule(LOCAL_NANOS, () -> handle(currentSession, event)));
	}

	void stopSidecar() {
		this.agentSession++;
		this.agent = null;
		this.engine.disconnect();
	}

	/**
	 * Detaches a replaced server from the group: its engine runs on, but observes no
	 * further completed steps, and the steps that it starts no longer count.
	 */
	void detach() {
		this.detachedAtStep = this.simulation.stepBarrier().completedStep();
	}

	boolean isDetached() {
		return this.detachedAtStep != Long.MAX_VALUE;
	}

	void receive(Member addressee, AgentOrder order) {
		handle(this.agentSession, new OrderReceived(addressee, order));
	}

	void tick() {
		handle(this.agentSession, new AgentTick());
	}

	void onStepCompleted() {
		this.engine.onStepCompleted();
	}

	@Override
	public long now() {
		return this.simulation.queue().now();
	}

	@Override
	public long completedStep() {
		return Math.min(this.detachedAtStep, this.simulation.stepBarrier().completedStep());
	}

	@Override
	public void onStepStarted(long step, Optional<MapRef> weights, long waitedNanos) {
		if (!isDetached()) {
			this.simulation.recordStepStart(this.rank, step, weights, waitedNanos, this);
		}
	}

	@Override
	public void loadMap(Runnable done) {
		this.simulation.queue().schedule(this.simulation.loadNanos(), done);
	}

	private void handle(int eventSession, AgentEvent event) {
		if (eventSession != this.agentSession || this.agent == null) {
			return;
		}
		List<AgentCommand> commands = this.agent.handle(event, now());
		for (AgentCommand command : commands) {
			if (command instanceof SendReport report) {
				this.simulation.sendReport(this.rank, report.report());
			}
			else {
				this.simulation.queue().schedule(LOCAL_NANOS, () -> executeOnEngine(eventSession, command));
			}
		}
	}

	private void executeOnEngine(int commandSession, AgentCommand command) {
		if (commandSession == this.agentSession) {
			this.engine.execute(command);
		}
	}

}
