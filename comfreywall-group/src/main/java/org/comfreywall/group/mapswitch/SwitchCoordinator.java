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
 * The coordinator stages the new map on all ranks, arms all of them for one step, writes
 * the decision to the ledger and tells the ranks. It says nothing to any rank that is not
 * durable, so a later coordinator can take over at any point.
 */
public final class SwitchCoordinator {

	/** The greatest number of writes queued besides one for each rank. */
	private static final int QUEUED_WRITES = 64;

	private final Term term;

	private final int ranks;

	private final CoordinatorSettings settings;

	private final SwitchRecorder recorder;

	private final RankTable table;

	private final LeadEstimator lead;

	private final LedgerWriter writer;

	private final List<CoordinatorCommand> commands = new ArrayList<>();

	private final OrderSender sender;

	private Optional<RequestedSwitch> requested = Optional.empty();

	private boolean opened;

	private boolean lost;

	private long attempts;

	private long nextRepeatAt = Long.MIN_VALUE;

	/**
	 * Creates the coordinator of one term.
	 * @param group the group's name
	 * @param term the term, later than every earlier coordinator's
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
		this.table = new RankTable(ranks, settings.assumedStepNanos());
		this.lead = new LeadEstimator(settings);
		this.writer = new LedgerWriter(ranks + QUEUED_WRITES, settings.retryNanos());
	}

	/**
	 * Returns the latest durable state known.
	 * @return the state
	 */
	public LedgerState state() {
		return this.sender.state();
	}

	/**
	 * Returns the phase of the switch under way.
	 * @return the phase
	 */
	public SwitchPhase phase() {
		return this.requested.map(RequestedSwitch::phase).orElse(SwitchPhase.IDLE);
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
		if (this.lost) {
			return List.of();
		}
		if (event instanceof WriteDurable durable) {
			written(durable, now);
		}
		else if (event instanceof ReportReceived received) {
			reported(received.report(), now);
		}
		else if (event instanceof CoordinatorTick) {
			ticked(now);
		}
		else {
			requestedByControl(event);
		}
		this.writer.due(now).ifPresent((write) -> this.commands.add(new WriteLedger(write)));
		return List.copyOf(this.commands);
	}

	private void requestedByControl(CoordinatorEvent event) {
		if (event instanceof CoordinatorStarted) {
			this.writer.add(new OpenTerm(this.term));
		}
		else if (event instanceof MapInstallRequested install) {
			this.writer.add(new InstallMap(this.term, install.map()));
		}
		else if (event instanceof MemberChosen chosen) {
			this.writer.add(new AssignMember(this.term, chosen.rank(), chosen.member()));
		}
		else if (event instanceof SwitchRequested wanted) {
			request(wanted.map());
		}
		else if (event instanceof SwitchCancelled unwanted) {
			cancel(unwanted.map());
		}
	}

	private void request(MapRef map) {
		if (this.requested.isPresent()) {
			this.commands.add(new SwitchEnded(map, SwitchOutcome.BUSY));
			return;
		}
		this.requested = Optional.of(new RequestedSwitch(map, this.ranks));
		this.nextRepeatAt = Long.MIN_VALUE;
	}

	private void cancel(MapRef map) {
		RequestedSwitch wanted = this.requested.filter((present) -> present.map().equals(map)).orElse(null);
		if (wanted == null) {
			return;
		}
		wanted.cancel();
		if (wanted.phase() == SwitchPhase.ARMING) {
			abort(wanted, "cancelled");
		}
		else if (wanted.phase() == SwitchPhase.STAGING) {
			end(wanted, SwitchOutcome.CANCELLED);
		}
	}

	private void written(WriteDurable durable, long now) {
		LedgerState newer = durable.result().state();
		if (this.term.isBefore(newer.term())) {
			loseTerm(newer.term());
			return;
		}
		this.sender.adopt(newer);
		if (!this.writer.completed(durable.write())) {
			return;
		}
		if (durable.write() instanceof OpenTerm) {
			this.opened = true;
		}
		else if (durable.write() instanceof AssignMember assign) {
			assigned(assign);
		}
		else if (durable.write() instanceof CommitSwitch commit) {
			committed(commit, durable.result(), now);
		}
		else if (durable.write() instanceof AbortSwitch) {
			durable.result().decision().ifPresent((decision) -> decided(decision, now));
		}
	}

	private void loseTerm(Term later) {
		this.lost = true;
		this.writer.clear();
		this.requested.ifPresent((wanted) -> end(wanted, SwitchOutcome.TERM_LOST));
		this.commands.add(new TermLost(later));
	}

	private void assigned(AssignMember assign) {
		int rank = assign.rank();
		if (state().holds(rank, assign.member())) {
			this.table.forget(rank);
			this.requested.ifPresent((wanted) -> replaced(wanted, rank));
			this.sender.welcome(rank);
		}
		this.commands.add(new MembershipChanged(state()));
	}

	private void replaced(RequestedSwitch wanted, int rank) {
		wanted.forget(rank);
		if (wanted.phase() == SwitchPhase.ARMING) {
			abort(wanted, "rank-replaced");
		}
	}

	private void committed(CommitSwitch commit, LedgerResult result, long now) {
		if (result.decision().isPresent()) {
			this.lead.decided(now - this.requested.map(RequestedSwitch::armedSince).orElse(now));
			decided(result.decision().get(), now);
			return;
		}
		this.writer.add(new AbortSwitch(this.term, commit.boundary().decidedBy()));
	}

	private void decided(SwitchDecision decision, long now) {
		this.recorder.decided(decision, state());
		this.requested.filter((wanted) -> wanted.isAttempt(decision.id()))
			.ifPresent((wanted) -> wanted.decided(decision));
		this.sender.sendWhere((rank) -> true, (number) -> new ReleaseSwitch(number, decision));
		this.nextRepeatAt = now + this.settings.retryNanos();
	}

	private void reported(AgentReport report, long now) {
		if (!this.opened || report.rank() >= this.ranks) {
			return;
		}
		if (!state().holds(report.rank(), report.member())) {
			refuseStranger(report);
			return;
		}
		if (report instanceof JoinAsked) {
			this.sender.welcome(report.rank());
		}
		else if (report instanceof StepProgress progress) {
			this.table.reported(report.rank(), progress.lastStep(), progress.stepNanos(), now);
		}
		else if (report instanceof DecisionAsked question) {
			answer(report.rank(), question.id());
		}
		else {
			this.requested.ifPresent((wanted) -> advance(wanted, report, now));
		}
	}

	private void refuseStranger(AgentReport report) {
		if (!(report instanceof JoinAsked)) {
			this.sender.dismiss(report.rank(), report.member());
		}
	}

	private void answer(int rank, SwitchId id) {
		Optional<SwitchDecision> decision = state().decisionOf(id);
		if (decision.isPresent()) {
			this.sender.send(rank, (number) -> new ReleaseSwitch(number, decision.get()));
		}
		else if (id.term().isBefore(this.term)) {
			this.writer.add(new AbortSwitch(this.term, id));
		}
	}

	private void advance(RequestedSwitch wanted, AgentReport report, long now) {
		if (report instanceof MapStaged staged && staged.map().equals(wanted.map())) {
			wanted.stagedAt(report.rank());
			armWhenStaged(wanted, now);
		}
		else if (report instanceof SwitchArmed armed) {
			armed(wanted, armed, now);
		}
		else if (report instanceof ArmRefused refused) {
			refused(wanted, refused, now);
		}
		else if (report instanceof SwitchReleased released) {
			released(wanted, released, now);
		}
	}

	private void armWhenStaged(RequestedSwitch wanted, long now) {
		Optional<MapBoundary> last = state().timeline().last();
		if (wanted.phase() != SwitchPhase.STAGING || !wanted.allStaged() || last.isEmpty()
				|| !this.table.allReached(last.get().firstStep())) {
			return;
		}
		BoundaryChoice choice = BoundaryChoice.of(this.table, this.lead.leadNanos(), last.get().firstStep(), now);
		this.attempts++;
		SwitchId id = new SwitchId(this.term, this.attempts);
		wanted.startAttempt(new MapBoundary(choice.firstStep(), wanted.map(), id), now, choice.deadline(now));
		this.recorder.armed(wanted.boundary(), choice);
		sendArm(wanted);
		this.nextRepeatAt = now + this.settings.retryNanos();
	}

	private void sendArm(RequestedSwitch wanted) {
		long askAfterNanos = (wanted.decideBy() - wanted.armedSince()) * 3 / 2;
		this.sender.sendWhere((rank) -> !wanted.isArmed(rank),
				(number) -> new ArmSwitch(number, wanted.boundary(), askAfterNanos));
	}

	private void armed(RequestedSwitch wanted, SwitchArmed report, long now) {
		if (wanted.phase() != SwitchPhase.ARMING || !wanted.isAttempt(report.id())) {
			return;
		}
		wanted.armedAt(report.rank());
		if (wanted.allArmed()) {
			wanted.decide();
			this.writer.add(new CommitSwitch(wanted.boundary(), state().generation()));
		}
	}

	private void refused(RequestedSwitch wanted, ArmRefused report, long now) {
		this.table.reported(report.rank(), report.lastStep(), 0, now);
		report.undecided().ifPresent((id) -> answer(report.rank(), id));
		if (wanted.phase() != SwitchPhase.ARMING || !wanted.isAttempt(report.id())) {
			return;
		}
		if (report.reason() == ArmRefusal.STEP_STARTED) {
			this.lead.tooShort();
		}
		if (report.reason() == ArmRefusal.NOT_STAGED) {
			wanted.notStaged(report.rank());
		}
		abort(wanted, report.reason().name());
	}

	private void abort(RequestedSwitch wanted, String reason) {
		this.recorder.givenUp(wanted.boundary().decidedBy(), reason);
		wanted.decide();
		this.writer.add(new AbortSwitch(this.term, wanted.boundary().decidedBy()));
	}

	private void released(RequestedSwitch wanted, SwitchReleased report, long now) {
		if (wanted.phase() != SwitchPhase.RELEASING || !wanted.isAttempt(report.id())) {
			return;
		}
		if (report.waitedNanos() > 0 && !wanted.isReleased(report.rank())) {
			this.lead.tooShort();
		}
		wanted.releasedAt(report.rank());
		finishWhenReleased(wanted);
	}

	private void finishWhenReleased(RequestedSwitch wanted) {
		if (wanted.phase() != SwitchPhase.RELEASING || !wanted.allReleased()) {
			return;
		}
		if (wanted.decision() instanceof CommitDecision) {
			this.lead.succeeded();
			end(wanted, SwitchOutcome.COMMITTED);
		}
		else if (wanted.isCancelled()) {
			end(wanted, SwitchOutcome.CANCELLED);
		}
		else if (wanted.attempts() >= this.settings.maxAttempts()) {
			end(wanted, SwitchOutcome.GAVE_UP);
		}
		else {
			wanted.restage();
		}
	}

	private void end(RequestedSwitch wanted, SwitchOutcome outcome) {
		this.requested = Optional.empty();
		this.commands.add(new SwitchEnded(wanted.map(), outcome));
	}

	private void ticked(long now) {
		this.requested.ifPresent((wanted) -> checkDeadline(wanted, now));
		if (this.opened && now >= this.nextRepeatAt) {
			this.nextRepeatAt = now + this.settings.retryNanos();
			this.requested.ifPresent((wanted) -> repeat(wanted, now));
		}
	}

	private void checkDeadline(RequestedSwitch wanted, long now) {
		if (wanted.phase() == SwitchPhase.ARMING && now >= wanted.decideBy()) {
			this.lead.tooShort();
			abort(wanted, "not-armed-in-time");
		}
	}

	private void repeat(RequestedSwitch wanted, long now) {
		finishWhenReleased(wanted);
		if (wanted.phase() == SwitchPhase.STAGING) {
			if (wanted.isStageDue(now, this.settings.stageRetryNanos())) {
				this.sender.sendWhere((rank) -> !wanted.isStaged(rank), (number) -> new StageMap(number, wanted.map()));
			}
			armWhenStaged(wanted, now);
		}
		else if (wanted.phase() == SwitchPhase.ARMING) {
			sendArm(wanted);
		}
		else if (wanted.phase() == SwitchPhase.RELEASING) {
			this.sender.sendWhere((rank) -> !wanted.isReleased(rank),
					(number) -> new ReleaseSwitch(number, wanted.decision()));
		}
	}

}
