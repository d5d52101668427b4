package org.comfreywall.group.mapswitch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.map.MapRef;

/**
 * Coordinates the map switches of one group during one term.
 * <p>
 * A switch is a two-phase commit. The coordinator makes all ranks load the new map
 * (staging), orders them to hold before one step (arming), writes the decision to the
 * ledger and sends it to the ranks (releasing). It sends a decision only after it is
 * durable, so the coordinator of a later term can take over at any point.
 */
public final class SwitchCoordinator {

	/** Maximum number of queued writes in addition to one for each rank. */
	private static final int QUEUED_WRITES = 64;

	private final Term term;

	private final int ranks;

	private final CoordinatorSettings settings;

	private final SwitchRecorder recorder;

	private final RankProgress rankProgress;

	private final LeadEstimator leadEstimator;

	private final LedgerWriteQueue ledgerWrites;

	private final List<CoordinatorCommand> commands = new ArrayList<>();

	private final OrderSender sender;

	private Optional<RequestedSwitch> activeSwitch = Optional.empty();

	private boolean termOpened;

	private boolean termLost;

	private long attempts;

	private long nextRepeatAt = Long.MIN_VALUE;

	/**
	 * Creates the coordinator of one term.
	 * @param group the group's name
	 * @param term the term, later than those of all previous coordinators
	 * @param ranks the number of ranks
	 * @param settings the settings
	 * @param listener receives the coordinator's decisions
	 * @param invariants checks the coordinator's invariants
	 */
	public SwitchCoordinator(String group, Term term, int ranks, CoordinatorSettings settings,
			DecisionListener listener, Invariants invariants) {
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		this.term = Preconditions.notNull(term, "term");
		this.ranks = ranks;
		this.settings = Preconditions.notNull(settings, "settings");
		this.recorder = new SwitchRecorder(Preconditions.notBlank(group, "group"),
				Preconditions.notNull(listener, "listener"));
		this.sender = new OrderSender(term, Preconditions.notNull(invariants, "invariants"), this.commands);
		this.rankProgress = new RankProgress(ranks, settings.assumedStepNanos());
		this.leadEstimator = new LeadEstimator(settings);
		this.ledgerWrites = new LedgerWriteQueue(ranks + QUEUED_WRITES, settings.retryNanos());
	}

	/**
	 * Returns the latest durable state that this coordinator has received.
	 * @return the state
	 */
	public LedgerState state() {
		return this.sender.state();
	}

	/**
	 * Returns the phase of the switch in progress.
	 * @return the phase, or {@link SwitchPhase#IDLE} if there is none
	 */
	public SwitchPhase phase() {
		return this.activeSwitch.map(RequestedSwitch::phase).orElse(SwitchPhase.IDLE);
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the monotonic time in nanoseconds
	 * @return the commands to carry out in order
	 */
	public List<CoordinatorCommand> handle(CoordinatorEvent event, long now) {
		Preconditions.notNull(event, "event");
		this.commands.clear();
		if (this.termLost) {
			return List.of();
		}
		if (event instanceof WriteDurable durable) {
			handleWriteDurable(durable, now);
		}
		else if (event instanceof ReportReceived received) {
			handleReport(received.report(), now);
		}
		else if (event instanceof CoordinatorTick) {
			handleTick(now);
		}
		else {
			handleControlEvent(event);
		}
		this.ledgerWrites.pollDue(now).ifPresent((write) -> this.commands.add(new WriteLedger(write)));
		return List.copyOf(this.commands);
	}

	private void handleControlEvent(CoordinatorEvent event) {
		if (event instanceof CoordinatorStarted) {
			this.ledgerWrites.add(new OpenTerm(this.term));
		}
		else if (event instanceof MapInstallRequested install) {
			this.ledgerWrites.add(new InstallMap(this.term, install.map()));
		}
		else if (event instanceof AssignmentRequested request) {
			this.ledgerWrites.add(new AssignMember(this.term, request.rank(), request.member()));
		}
		else if (event instanceof SwitchRequested request) {
			startSwitch(request.map());
		}
		else if (event instanceof SwitchCancelled cancellation) {
			cancelSwitch(cancellation.map());
		}
	}

	private void startSwitch(MapRef map) {
		if (this.activeSwitch.isPresent()) {
			this.commands.add(new SwitchEnded(map, SwitchOutcome.BUSY));
			return;
		}
		this.activeSwitch = Optional.of(new RequestedSwitch(map, this.ranks));
		this.nextRepeatAt = Long.MIN_VALUE;
	}

	private void cancelSwitch(MapRef map) {
		RequestedSwitch active = this.activeSwitch.filter((pending) -> pending.map().equals(map)).orElse(null);
		if (active == null) {
			return;
		}
		active.cancel();
		if (active.phase() == SwitchPhase.ARMING) {
			abortAttempt(active, "cancelled");
		}
		else if (active.phase() == SwitchPhase.STAGING) {
			endSwitch(active, SwitchOutcome.CANCELLED);
		}
	}

	private void handleWriteDurable(WriteDurable durable, long now) {
		LedgerState newer = durable.result().state();
		if (this.term.isBefore(newer.term())) {
			loseTerm(newer.term());
			return;
		}
		this.sender.updateState(newer);
		if (!this.ledgerWrites.complete(durable.write())) {
			return;
		}
		if (durable.write() instanceof OpenTerm) {
			this.termOpened = true;
		}
		else if (durable.write() instanceof AssignMember assign) {
			completeAssignment(assign);
		}
		else if (durable.write() instanceof CommitSwitch commit) {
			completeCommit(commit, durable.result(), now);
		}
		else if (durable.write() instanceof AbortSwitch) {
			durable.result().decision().ifPresent((decision) -> releaseRanks(decision, now));
		}
	}

	private void loseTerm(Term later) {
		this.termLost = true;
		this.ledgerWrites.clear();
		this.activeSwitch.ifPresent((active) -> endSwitch(active, SwitchOutcome.TERM_LOST));
		this.commands.add(new TermLost(later));
	}

	private void completeAssignment(AssignMember assign) {
		int rank = assign.rank();
		if (state().isAssigned(rank, assign.member())) {
			this.rankProgress.reset(rank);
			this.activeSwitch.ifPresent((active) -> handleReplacedRank(active, rank));
			this.sender.sendWelcome(rank);
		}
		this.commands.add(new MembershipChanged(state()));
	}

	private void handleReplacedRank(RequestedSwitch active, int rank) {
		active.resetReplacedRank(rank);
		if (active.phase() == SwitchPhase.ARMING) {
			abortAttempt(active, "rank-replaced");
		}
	}

	private void completeCommit(CommitSwitch commit, LedgerResult result, long now) {
		if (result.decision().isPresent()) {
			this.leadEstimator.addSample(now - this.activeSwitch.map(RequestedSwitch::armingStartedAt).orElse(now));
			releaseRanks(result.decision().get(), now);
			return;
		}
		this.ledgerWrites.add(new AbortSwitch(this.term, commit.boundary().attemptId()));
	}

	private void releaseRanks(SwitchDecision decision, long now) {
		this.recorder.recordDecision(decision, state());
		this.activeSwitch.filter((active) -> active.isCurrentAttempt(decision.id()))
			.ifPresent((active) -> active.startReleasing(decision));
		this.sender.sendToRanks((rank) -> true, (number) -> new ReleaseSwitch(number, decision));
		this.nextRepeatAt = now + this.settings.retryNanos();
	}

	private void handleReport(AgentReport report, long now) {
		if (!this.termOpened || report.rank() >= this.ranks) {
			return;
		}
		if (!state().isAssigned(report.rank(), report.member())) {
			dismissNonMember(report);
			return;
		}
		if (report instanceof JoinRequest) {
			this.sender.sendWelcome(report.rank());
		}
		else if (report instanceof StepProgress progress) {
			this.rankProgress.update(report.rank(), progress.lastStep(), progress.stepNanos(), now);
		}
		else if (report instanceof DecisionQuery query) {
			answerQuery(report.rank(), query.id());
		}
		else {
			this.activeSwitch.ifPresent((active) -> handleSwitchReport(active, report, now));
		}
	}

	private void dismissNonMember(AgentReport report) {
		if (!(report instanceof JoinRequest)) {
			this.sender.sendDismiss(report.rank(), report.member());
		}
	}

	private void answerQuery(int rank, SwitchId id) {
		Optional<SwitchDecision> decision = state().decisionOf(id);
		if (decision.isPresent()) {
			this.sender.send(rank, (number) -> new ReleaseSwitch(number, decision.get()));
		}
		else if (id.term().isBefore(this.term)) {
			this.ledgerWrites.add(new AbortSwitch(this.term, id));
		}
	}

	private void handleSwitchReport(RequestedSwitch active, AgentReport report, long now) {
		if (report instanceof MapStaged staged && staged.map().equals(active.map())) {
			active.markStaged(report.rank());
			armWhenStaged(active, now);
		}
		else if (report instanceof SwitchArmed armed) {
			handleArmed(active, armed, now);
		}
		else if (report instanceof ArmRefused refused) {
			handleArmRefused(active, refused, now);
		}
		else if (report instanceof SwitchReleased released) {
			handleReleased(active, released, now);
		}
	}

	private void armWhenStaged(RequestedSwitch active, long now) {
		Optional<MapBoundary> last = state().timeline().last();
		if (active.phase() != SwitchPhase.STAGING || !active.allStaged() || last.isEmpty()
				|| !this.rankProgress.allReached(last.get().firstStep())) {
			return;
		}
		BoundaryChoice choice = BoundaryChoice.of(this.rankProgress, this.leadEstimator.leadNanos(),
				last.get().firstStep(), now);
		this.attempts++;
		SwitchId id = new SwitchId(this.term, this.attempts);
		active.startAttempt(new MapBoundary(choice.firstStep(), active.map(), id), now, choice.armDeadline(now));
		this.recorder.recordArming(active.boundary(), choice);
		sendArm(active);
		this.nextRepeatAt = now + this.settings.retryNanos();
	}

	private void sendArm(RequestedSwitch active) {
		// A rank that has not reached the held step queries the decision when it is
		// overdue by half the arming timeout.
		long askAfterNanos = (active.armDeadline() - active.armingStartedAt()) * 3 / 2;
		this.sender.sendToRanks((rank) -> !active.isArmed(rank),
				(number) -> new ArmSwitch(number, active.boundary(), askAfterNanos));
	}

	private void handleArmed(RequestedSwitch active, SwitchArmed report, long now) {
		if (active.phase() != SwitchPhase.ARMING || !active.isCurrentAttempt(report.id())) {
			return;
		}
		active.markArmed(report.rank());
		if (active.allArmed()) {
			active.startDeciding();
			this.ledgerWrites.add(new CommitSwitch(active.boundary(), state().generation()));
		}
	}

	private void handleArmRefused(RequestedSwitch active, ArmRefused report, long now) {
		this.rankProgress.update(report.rank(), report.lastStep(), 0, now);
		report.undecided().ifPresent((id) -> answerQuery(report.rank(), id));
		if (active.phase() != SwitchPhase.ARMING || !active.isCurrentAttempt(report.id())) {
			return;
		}
		if (report.reason() == ArmRefusal.STEP_STARTED) {
			this.leadEstimator.increasePenalty();
		}
		if (report.reason() == ArmRefusal.NOT_STAGED) {
			active.clearStaged(report.rank());
		}
		abortAttempt(active, report.reason().name());
	}

	private void abortAttempt(RequestedSwitch active, String reason) {
		this.recorder.recordAbort(active.boundary().attemptId(), reason);
		active.startDeciding();
		this.ledgerWrites.add(new AbortSwitch(this.term, active.boundary().attemptId()));
	}

	private void handleReleased(RequestedSwitch active, SwitchReleased report, long now) {
		if (active.phase() != SwitchPhase.RELEASING || !active.isCurrentAttempt(report.id())) {
			return;
		}
		if (report.waitedNanos() > 0 && !active.isReleased(report.rank())) {
			this.leadEstimator.increasePenalty();
		}
		active.markReleased(report.rank());
		finishWhenReleased(active);
	}

	private void finishWhenReleased(RequestedSwitch active) {
		if (active.phase() != SwitchPhase.RELEASING || !active.allReleased()) {
			return;
		}
		if (active.decision() instanceof CommitDecision) {
			this.leadEstimator.decreasePenalty();
			endSwitch(active, SwitchOutcome.COMMITTED);
		}
		else if (active.isCancelled()) {
			endSwitch(active, SwitchOutcome.CANCELLED);
		}
		else if (active.attempts() >= this.settings.maxAttempts()) {
			endSwitch(active, SwitchOutcome.GAVE_UP);
		}
		else {
			active.startStaging();
		}
	}

	private void endSwitch(RequestedSwitch active, SwitchOutcome outcome) {
		this.activeSwitch = Optional.empty();
		this.commands.add(new SwitchEnded(active.map(), outcome));
	}

	private void handleTick(long now) {
		this.activeSwitch.ifPresent((active) -> checkDeadline(active, now));
		if (this.termOpened && now >= this.nextRepeatAt) {
			this.nextRepeatAt = now + this.settings.retryNanos();
			this.activeSwitch.ifPresent((active) -> repeatOrders(active, now));
		}
	}

	private void checkDeadline(RequestedSwitch active, long now) {
		if (active.phase() == SwitchPhase.ARMING && now >= active.armDeadline()) {
			this.leadEstimator.increasePenalty();
			abortAttempt(active, "not-armed-in-time");
		}
	}

	private void repeatOrders(RequestedSwitch active, long now) {
		finishWhenReleased(active);
		if (active.phase() == SwitchPhase.STAGING) {
			if (active.pollStageDue(now, this.settings.stageRetryNanos())) {
				this.sender.sendToRanks((rank) -> !active.isStaged(rank),
						(number) -> new StageMap(number, active.map()));
			}
			armWhenStaged(active, now);
		}
		else if (active.phase() == SwitchPhase.ARMING) {
			sendArm(active);
		}
		else if (active.phase() == SwitchPhase.RELEASING) {
			this.sender.sendToRanks((rank) -> !active.isReleased(rank),
					(number) -> new ReleaseSwitch(number, active.decision()));
		}
	}

}
