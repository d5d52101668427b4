package org.comfreywall.group.mapswitch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * Grants steps to the engine of one rank, each under the map committed for that step.
 * <p>
 * The agent runs in the sidecar and rejects orders with outdated fencing numbers, so an
 * engine that does not check the numbers is protected as well. An agent serves one
 * incarnation: after a restart of the sidecar or the engine, a new agent has to join the
 * group.
 */
public final class SwitchAgent {

	private final int rank;

	private final Member member;

	private final AgentSettings settings;

	private final DecisionListener listener;

	private final Invariants invariants;

	private final EngineMemory memory = new EngineMemory();

	private final StepTimer timer = new StepTimer();

	private final List<AgentCommand> commands = new ArrayList<>();

	private AgentState state = AgentState.CONNECTING;

	private FencingNumber highestNumber = FencingNumber.ZERO;

	private MapTimeline timeline = MapTimeline.EMPTY;

	private SwitchId lastDecided = SwitchId.ZERO;

	private Optional<ArmSwitch> armed = Optional.empty();

	private long armedAt;

	private long lastStep = -1;

	private long requestedStep = -1;

	private long requestedAt;

	private long nextQueryAt = Long.MIN_VALUE;

	private long nextProgressAt = Long.MIN_VALUE;

	/**
	 * Creates the agent of one incarnation.
	 * @param rank the rank of the engine, zero or greater
	 * @param member the server and the sidecar's incarnation
	 * @param settings the settings
	 * @param listener receives the agent's decisions
	 * @param invariants checks the agent's invariants
	 */
	public SwitchAgent(int rank, Member member, AgentSettings settings, DecisionListener listener,
			Invariants invariants) {
		Preconditions.check(rank >= 0, "rank must not be negative: %d", rank);
		this.rank = rank;
		this.member = Preconditions.notNull(member, "member");
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.invariants = Preconditions.notNull(invariants, "invariants");
	}

	/**
	 * Returns the agent's state.
	 * @return the state
	 */
	public AgentState state() {
		return this.state;
	}

	/**
	 * Returns the last step that the engine was allowed to start.
	 * @return the step, or -1 if there was none
	 */
	public long lastStep() {
		return this.lastStep;
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the monotonic time in nanoseconds
	 * @return the commands to carry out in order
	 */
	public List<AgentCommand> handle(AgentEvent event, long now) {
		Preconditions.notNull(event, "event");
		this.commands.clear();
		if (event instanceof EngineConnected connected) {
			handleEngineConnected(connected, now);
		}
		else if (event instanceof StepReached reached) {
			handleStepReached(reached.step(), now);
		}
		else if (event instanceof EngineLoaded loaded) {
			handleEngineLoaded(loaded.map(), now);
		}
		else if (event instanceof OrderReceived received) {
			handleOrder(received, now);
		}
		else {
			handleTick(now);
		}
		return List.copyOf(this.commands);
	}

	private void handleEngineConnected(EngineConnected event, long now) {
		this.memory.reset(event.active(), event.staged());
		this.lastStep = Math.max(this.lastStep, event.lastStep());
		if (this.state == AgentState.CONNECTING) {
			this.state = AgentState.JOINING;
			handleTick(now);
		}
	}

	private void handleStepReached(long step, long now) {
		this.requestedStep = step;
		this.requestedAt = now;
		grantIfAllowed(now);
	}

	private void handleEngineLoaded(MapRef map, long now) {
		if (this.memory.completeLoad(map)) {
			report(new MapStaged(this.rank, this.member, map));
			grantIfAllowed(now);
		}
	}

	private void handleOrder(OrderReceived received, long now) {
		AgentOrder order = received.order();
		if (!received.addressee().equals(this.member) || this.state == AgentState.CONNECTING) {
			return;
		}
		if (isFenced(order)) {
			this.listener.onDecision(DecisionRecord.of(DecisionKind.ORDER, this.member.toString(), "refused-old-number",
					Field.of("order", order.getClass().getSimpleName()), Field.of("number", order.number()),
					Field.of("accepted", this.highestNumber)));
			return;
		}
		this.highestNumber = order.number().isBefore(this.highestNumber) ? this.highestNumber : order.number();
		execute(order, now);
	}

	private boolean isFenced(AgentOrder order) {
		// A ReleaseSwitch order may arrive out of order within a term: its decision is
		// final, and rejecting it would make the rank hold its step until the next retry.
		if (order instanceof ReleaseSwitch) {
			return order.number().term().isBefore(this.highestNumber.term());
		}
		return order.number().isBefore(this.highestNumber);
	}

	private void execute(AgentOrder order, long now) {
		if (order instanceof Dismiss) {
			dismiss("replaced");
		}
		else if (order instanceof Welcome welcome) {
			completeJoin(welcome, now);
		}
		else if (this.state != AgentState.ACTIVE) {
			return;
		}
		else if (order instanceof StageMap stage) {
			stageMap(stage.map());
		}
		else if (order instanceof ArmSwitch arm) {
			armSwitch(arm, now);
		}
		else if (order instanceof ReleaseSwitch release) {
			applyDecision(release.decision(), now);
		}
	}

	private void completeJoin(Welcome welcome, long now) {
		if (this.state != AgentState.JOINING) {
			return;
		}
		this.timeline = welcome.timeline();
		this.lastDecided = welcome.lastDecided();
		this.state = AgentState.ACTIVE;
		this.timeline.last().map(MapBoundary::map).filter((map) -> !this.memory.holds(map)).ifPresent(this::startLoad);
		grantIfAllowed(now);
	}

	private void stageMap(MapRef map) {
		boolean lastMapActive = this.timeline.last().filter((last) -> this.memory.isActive(last.map())).isPresent();
		if (this.memory.holds(map)) {
			report(new MapStaged(this.rank, this.member, map));
		}
		else if (lastMapActive && this.armed.isEmpty() && !this.memory.isLoading(map)) {
			startLoad(map);
		}
	}

	private void armSwitch(ArmSwitch order, long now) {
		SwitchId id = order.boundary().attemptId();
		if (this.armed.filter((present) -> present.boundary().equals(order.boundary())).isPresent()) {
			report(new SwitchArmed(this.rank, this.member, id));
			return;
		}
		if (id.compareTo(this.lastDecided) <= 0) {
			return;
		}
		Optional<ArmRefusal> refusal = checkArmable(order.boundary());
		if (refusal.isPresent()) {
			report(new ArmRefused(this.rank, this.member, id, refusal.get(), this.lastStep,
					this.armed.map((present) -> present.boundary().attemptId())));
			return;
		}
		this.armed = Optional.of(order);
		this.armedAt = now;
		report(new SwitchArmed(this.rank, this.member, id));
	}

	private Optional<ArmRefusal> checkArmable(MapBoundary boundary) {
		if (this.armed.isPresent()) {
			return Optional.of(ArmRefusal.OTHER_UNDECIDED);
		}
		if (this.timeline.last().filter((last) -> this.memory.isActive(last.map())).isEmpty()) {
			return Optional.of(ArmRefusal.BEFORE_LAST_BOUNDARY);
		}
		if (boundary.firstStep() <= this.lastStep) {
			return Optional.of(ArmRefusal.STEP_STARTED);
		}
		return this.memory.holds(boundary.map()) ? Optional.empty() : Optional.of(ArmRefusal.NOT_STAGED);
	}

	private void applyDecision(SwitchDecision decision, long now) {
		SwitchId id = decision.id();
		boolean armedForIt = this.armed.filter((arm) -> arm.boundary().attemptId().equals(id)).isPresent();
		if (!armedForIt && this.lastDecided.isBefore(id) && decision instanceof CommitDecision) {
			this.invariants.holds(false, "commit-without-armed-rank", Field.of("member", this.member),
					Field.of("switch", id));
			dismiss("commit-without-armed-rank");
			return;
		}
		long waited = armedForIt ? waitedNanos(now) : 0;
		if (armedForIt) {
			this.armed = Optional.empty();
			extendTimeline(decision);
		}
		this.lastDecided = this.lastDecided.isBefore(id) ? id : this.lastDecided;
		report(new SwitchReleased(this.rank, this.member, id, waited));
		grantIfAllowed(now);
	}

	private void extendTimeline(SwitchDecision decision) {
		if (decision instanceof CommitDecision commit) {
			this.timeline = this.timeline.with(commit.boundary());
		}
	}

	private long waitedNanos(long now) {
		return isHeld(this.requestedStep) ? now - this.requestedAt : 0;
	}

	private boolean isHeld(long step) {
		return this.armed.filter((arm) -> arm.boundary().firstStep() <= step).isPresent();
	}

	private void grantIfAllowed(long now) {
		if (this.requestedStep < 0 || this.state != AgentState.ACTIVE) {
			return;
		}
		if (isHeld(this.requestedStep)) {
			queryDecision(now);
			return;
		}
		Optional<MapRef> map = this.timeline.mapAt(this.requestedStep);
		if (!this.invariants.holds(map.isPresent(), "step-has-a-map", Field.of("member", this.member),
				Field.of("step", this.requestedStep))) {
			return;
		}
		if (this.memory.holds(map.get())) {
			grant(map.get(), now);
		}
		else if (!this.memory.isLoading(map.get())) {
			startLoad(map.get());
		}
	}

	private void grant(MapRef map, long now) {
		long step = this.requestedStep;
		this.memory.activate(map);
		this.timer.recordStart(step, this.requestedAt != now, now);
		this.lastStep = Math.max(this.lastStep, step);
		this.requestedStep = -1;
		this.commands.add(new GrantStep(this.highestNumber, step, map));
	}

	private void startLoad(MapRef map) {
		this.memory.startLoad(map);
		this.commands.add(new LoadMap(this.highestNumber, map));
	}

	private void dismiss(String reason) {
		this.state = AgentState.DISMISSED;
		this.listener.onDecision(DecisionRecord.of(DecisionKind.MEMBERSHIP, this.member.toString(), "dismissed",
				Field.of("reason", reason), Field.of("rank", this.rank), Field.of("last-step", this.lastStep)));
	}

	private void handleTick(long now) {
		if (this.state == AgentState.JOINING && now >= this.nextQueryAt) {
			this.nextQueryAt = now + this.settings.retryNanos();
			report(new JoinRequest(this.rank, this.member));
		}
		if (this.state == AgentState.ACTIVE) {
			queryDecisionWhenDue(now);
			reportProgress(now);
		}
	}

	private void queryDecisionWhenDue(long now) {
		boolean due = this.armed.filter((arm) -> now - this.armedAt >= arm.askAfterNanos()).isPresent();
		if (due || isHeld(this.requestedStep)) {
			queryDecision(now);
		}
	}

	private void queryDecision(long now) {
		if (now >= this.nextQueryAt) {
			this.nextQueryAt = now + this.settings.retryNanos();
			this.armed
				.ifPresent((arm) -> report(new DecisionQuery(this.rank, this.member, arm.boundary().attemptId())));
		}
	}

	private void reportProgress(long now) {
		if (now >= this.nextProgressAt) {
			this.nextProgressAt = now + this.settings.progressNanos();
			report(new StepProgress(this.rank, this.member, this.lastStep, this.timer.stepNanos()));
		}
	}

	private void report(AgentReport report) {
		this.commands.add(new SendReport(report));
	}

}
