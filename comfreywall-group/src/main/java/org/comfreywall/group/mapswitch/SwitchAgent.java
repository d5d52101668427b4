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
 * Allows the engine of one rank to run steps, each under the map decided for it.
 * <p>
 * The agent runs in the sidecar and refuses orders with old fencing numbers, so that
 * engines that ignore the numbers are safe too. An agent serves one incarnation; after a
 * restart of the sidecar or the engine a new agent joins anew.
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

	private FencingNumber fence = FencingNumber.ZERO;

	private MapTimeline timeline = MapTimeline.EMPTY;

	private SwitchId lastDecided = SwitchId.ZERO;

	private Optional<ArmSwitch> armed = Optional.empty();

	private long armedAt;

	private long lastStep = -1;

	private long waitingStep = -1;

	private long waitingSince;

	private long nextAskAt = Long.MIN_VALUE;

	private long nextProgressAt = Long.MIN_VALUE;

	/**
	 * Creates the agent of one incarnation.
	 * @param rank the rank that the engine is to run, zero or greater
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
			connected(connected, now);
		}
		else if (event instanceof StepReached reached) {
			reached(reached.step(), now);
		}
		else if (event instanceof EngineLoaded loaded) {
			loaded(loaded.map(), now);
		}
		else if (event instanceof OrderReceived received) {
			ordered(received, now);
		}
		else {
			ticked(now);
		}
		return List.copyOf(this.commands);
	}

	private void connected(EngineConnected event, long now) {
		this.memory.reset(event.active(), event.staged());
		this.lastStep = Math.max(this.lastStep, event.lastStep());
		if (this.state == AgentState.CONNECTING) {
			this.state = AgentState.JOINING;
			ticked(now);
		}
	}

	private void reached(long step, long now) {
		this.waitingStep = step;
		this.waitingSince = now;
		grantIfAllowed(now);
	}

	private void loaded(MapRef map, long now) {
		if (this.memory.loaded(map)) {
			report(new MapStaged(this.rank, this.member, map));
			grantIfAllowed(now);
		}
	}

	private void ordered(OrderReceived received, long now) {
		AgentOrder order = received.order();
		if (!received.addressee().equals(this.member) || this.state == AgentState.CONNECTING) {
			return;
		}
		if (isFenced(order)) {
			this.listener.onDecision(DecisionRecord.of(DecisionKind.ORDER, this.member.toString(), "refused-old-number",
					Field.of("order", order.getClass().getSimpleName()), Field.of("number", order.number()),
					Field.of("accepted", this.fence)));
			return;
		}
		this.fence = order.number().isBefore(this.fence) ? this.fence : order.number();
		carryOut(order, now);
	}

	private boolean isFenced(AgentOrder order) {
		// A decision is durable, so its place among the orders of a term does not matter.
		if (order instanceof ReleaseSwitch) {
			return order.number().term().isBefore(this.fence.term());
		}
		return order.number().isBefore(this.fence);
	}

	private void carryOut(AgentOrder order, long now) {
		if (order instanceof Dismiss) {
			dismiss("replaced");
		}
		else if (order instanceof Welcome welcome) {
			join(welcome, now);
		}
		else if (this.state != AgentState.ACTIVE) {
			return;
		}
		else if (order instanceof StageMap stage) {
			stage(stage.map());
		}
		else if (order instanceof ArmSwitch arm) {
			arm(arm, now);
		}
		else if (order instanceof ReleaseSwitch release) {
			release(release.decision(), now);
		}
	}

	private void join(Welcome welcome, long now) {
		if (this.state != AgentState.JOINING) {
			return;
		}
		this.timeline = welcome.timeline();
		this.lastDecided = welcome.lastDecided();
		this.state = AgentState.ACTIVE;
		this.timeline.last().map(MapBoundary::map).filter((map) -> !this.memory.holds(map)).ifPresent(this::load);
		grantIfAllowed(now);
	}

	private void stage(MapRef map) {
		boolean current = this.timeline.last().filter((last) -> this.memory.isActive(last.map())).isPresent();
		if (this.memory.holds(map)) {
			report(new MapStaged(this.rank, this.member, map));
		}
		else if (current && this.armed.isEmpty() && !this.memory.isLoading(map)) {
			load(map);
		}
	}

	private void arm(ArmSwitch order, long now) {
		SwitchId id = order.boundary().decidedBy();
		if (this.armed.filter((present) -> present.boundary().equals(order.boundary())).isPresent()) {
			report(new SwitchArmed(this.rank, this.member, id));
			return;
		}
		if (id.compareTo(this.lastDecided) <= 0) {
			return;
		}
		Optional<ArmRefusal> refusal = refusalOf(order.boundary());
		if (refusal.isPresent()) {
			report(new ArmRefused(this.rank, this.member, id, refusal.get(), this.lastStep,
					this.armed.map((present) -> present.boundary().decidedBy())));
			return;
		}
		this.armed = Optional.of(order);
		this.armedAt = now;
		report(new SwitchArmed(this.rank, this.member, id));
	}

	private Optional<ArmRefusal> refusalOf(MapBoundary boundary) {
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

	private void release(SwitchDecision decision, long now) {
		SwitchId id = decision.id();
		boolean awaited = this.armed.filter((arm) -> arm.boundary().decidedBy().equals(id)).isPresent();
		if (!awaited && this.lastDecided.isBefore(id) && decision instanceof CommitDecision) {
			this.invariants.holds(false, "commit-without-armed-rank", Field.of("member", this.member),
					Field.of("switch", id));
			dismiss("commit-without-armed-rank");
			return;
		}
		long waited = awaited ? waitedNanos(now) : 0;
		if (awaited) {
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
		return isHeld(this.waitingStep) ? now - this.waitingSince : 0;
	}

	private boolean isHeld(long step) {
		return this.armed.filter((arm) -> arm.boundary().firstStep() <= step).isPresent();
	}

	private void grantIfAllowed(long now) {
		if (this.waitingStep < 0 || this.state != AgentState.ACTIVE) {
			return;
		}
		if (isHeld(this.waitingStep)) {
			askDecision(now);
			return;
		}
		Optional<MapRef> map = this.timeline.mapAt(this.waitingStep);
		if (!this.invariants.holds(map.isPresent(), "step-has-a-map", Field.of("member", this.member),
				Field.of("step", this.waitingStep))) {
			return;
		}
		if (this.memory.holds(map.get())) {
			grant(map.get(), now);
		}
		else if (!this.memory.isLoading(map.get())) {
			load(map.get());
		}
	}

	private void grant(MapRef map, long now) {
		long step = this.waitingStep;
		this.memory.use(map);
		this.timer.started(step, this.waitingSince != now, now);
		this.lastStep = Math.max(this.lastStep, step);
		this.waitingStep = -1;
		this.commands.add(new GrantStep(this.fence, step, map));
	}

	private void load(MapRef map) {
		this.memory.load(map);
		this.commands.add(new LoadMap(this.fence, map));
	}

	private void dismiss(String reason) {
		this.state = AgentState.DISMISSED;
		this.listener.onDecision(DecisionRecord.of(DecisionKind.MEMBERSHIP, this.member.toString(), "dismissed",
				Field.of("reason", reason), Field.of("rank", this.rank), Field.of("last-step", this.lastStep)));
	}

	private void ticked(long now) {
		if (this.state == AgentState.JOINING && now >= this.nextAskAt) {
			this.nextAskAt = now + this.settings.retryNanos();
			report(new JoinAsked(this.rank, this.member));
		}
		if (this.state == AgentState.ACTIVE) {
			askWhenDue(now);
			reportProgress(now);
		}
	}

	private void askWhenDue(long now) {
		boolean due = this.armed.filter((arm) -> now - this.armedAt >= arm.askAfterNanos()).isPresent();
		if (due || isHeld(this.waitingStep)) {
			askDecision(now);
		}
	}

	private void askDecision(long now) {
		if (now >= this.nextAskAt) {
			this.nextAskAt = now + this.settings.retryNanos();
			this.armed
				.ifPresent((arm) -> report(new DecisionAsked(this.rank, this.member, arm.boundary().decidedBy())));
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
