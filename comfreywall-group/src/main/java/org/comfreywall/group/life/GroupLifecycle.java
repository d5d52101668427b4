package org.comfreywall.group.life;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.group.mapswitch.LedgerState;
import org.comfreywall.group.mapswitch.Member;

/**
 * Lifecycle core of a group: forms it, monitors its ranks, replaces failed members with
 * spares and dissolves it.
 * <p>
 * The ranks run in lockstep. A rank without heartbeats is therefore running as long as
 * the group makes progress, and a rank that still computes while others wait for their
 * peers blocks them.
 */
public final class GroupLifecycle {

	/** Number of suspicion timeouts after which a spare without announcements expires. */
	private static final int SPARE_TIMEOUTS = 5;

	private final String group;

	private final LifecycleSettings settings;

	private final DecisionListener listener;

	private final List<RankState> ranks;

	private final SparePool spares = new SparePool();

	private final List<GroupCommand> commands = new ArrayList<>();

	private GroupState state = GroupState.FORMING;

	private long groupStep = -1;

	private long groupProgressAt;

	private long membershipIndex = -1;

	/**
	 * Creates the lifecycle core of one group.
	 * @param group the group's name
	 * @param ranks the number of ranks
	 * @param settings the timeouts
	 * @param listener receives the membership decisions
	 */
	public GroupLifecycle(String group, int ranks, LifecycleSettings settings, DecisionListener listener) {
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		this.group = Preconditions.notBlank(group, "group");
		this.settings = Preconditions.notNull(settings, "settings");
		this.listener = Preconditions.notNull(listener, "listener");
		this.ranks = IntStream.range(0, ranks).mapToObj(RankState::new).toList();
	}

	/**
	 * Returns the group's state.
	 * @return the state
	 */
	public GroupState state() {
		return this.state;
	}

	/**
	 * Returns a snapshot of the state of each rank.
	 * @return one view for each rank, in order
	 */
	public List<RankView> ranks() {
		return this.ranks.stream()
			.map((rankState) -> new RankView(rankState.rank(), rankState.member(), rankState.health(),
					rankState.activity(), rankState.step()))
			.toList();
	}

	/**
	 * Returns the number of members without a rank.
	 * @return the count
	 */
	public int spares() {
		return this.spares.size();
	}

	/**
	 * Handles one event.
	 * @param event the event
	 * @param now the monotonic time in nanoseconds
	 * @return the commands to carry out in order
	 */
	public List<GroupCommand> handle(GroupEvent event, long now) {
		Preconditions.notNull(event, "event");
		this.commands.clear();
		if (this.state == GroupState.DISSOLVED) {
			return List.of();
		}
		if (event instanceof DissolveRequested) {
			dissolve();
			return List.copyOf(this.commands);
		}
		apply(event, now);
		fillEmptyRanks(now);
		updateState();
		return List.copyOf(this.commands);
	}

	private void apply(GroupEvent event, long now) {
		if (event instanceof MemberAnnounced announced) {
			handleAnnouncement(announced.member(), now);
		}
		else if (event instanceof HeartbeatReceived heartbeat) {
			handleHeartbeat(heartbeat, now);
		}
		else if (event instanceof MemberExited exited) {
			this.spares.remove(exited.member());
			findRankOf(exited.member()).ifPresent((rankState) -> changeHealth(rankState, RankHealth.FAILED, "exited"));
		}
		else if (event instanceof ProbeAnswered answered) {
			findRankOf(answered.member()).ifPresent((rankState) -> handleProbeAnswered(rankState, now));
		}
		else if (event instanceof ProbeFailed failed) {
			findRankOf(failed.member()).ifPresent(this::handleProbeFailed);
		}
		else if (event instanceof MembershipDurable durable) {
			applyMembership(durable.state(), now);
		}
		else {
			this.spares.removeExpired(now - SPARE_TIMEOUTS * this.settings.suspectNanos());
			this.ranks.forEach((rankState) -> checkHealth(rankState, now));
		}
	}

	private void handleAnnouncement(Member member, long now) {
		Optional<RankState> assigned = this.ranks.stream()
			.filter((rankState) -> rankState.member().filter((m) -> m.server().equals(member.server())).isPresent())
			.findFirst();
		if (assigned.isEmpty()) {
			boolean isCandidate = this.ranks.stream()
				.anyMatch((rankState) -> rankState.candidate().filter(member::equals).isPresent());
			if (!isCandidate) {
				this.spares.addOrRefresh(member, now);
			}
			return;
		}
		Member current = assigned.get().member().orElseThrow();
		if (current.incarnation().isBefore(member.incarnation()) && assigned.get().candidate().isEmpty()) {
			changeHealth(assigned.get(), RankHealth.FAILED, "restarted");
			requestAssignment(assigned.get(), member, now);
		}
	}

	private void handleHeartbeat(HeartbeatReceived heartbeat, long now) {
		Optional<RankState> assigned = findRankOf(heartbeat.member());
		if (assigned.isEmpty()) {
			return;
		}
		RankState rankState = assigned.get();
		rankState.recordHeartbeat(heartbeat.step(), heartbeat.activity(), !hasRecentHeartbeat(rankState, now), now);
		if (heartbeat.step() > this.groupStep) {
			this.groupStep = heartbeat.step();
			this.groupProgressAt = now;
		}
		boolean stillStalled = rankState.health() == RankHealth.STALLED && rankState.lastChangeAt() != now;
		if (!stillStalled && rankState.health() != RankHealth.FAILED) {
			changeHealth(rankState, RankHealth.HEALTHY, "heard");
		}
	}

	private void handleProbeAnswered(RankState rankState, long now) {
		rankState.recordContact(now);
		if (rankState.health() == RankHealth.SUSPECTED) {
			changeHealth(rankState, RankHealth.LATE, "probe-answered");
		}
	}

	private void handleProbeFailed(RankState rankState) {
		rankState.recordFailedProbe();
		if (rankState.failedProbes() >= this.settings.failedProbes()) {
			changeHealth(rankState, RankHealth.FAILED, "probes-failed");
		}
	}

	private void applyMembership(LedgerState durable, long now) {
		if (durable.index() < this.membershipIndex) {
			// Ledger replies can arrive out of order; ignore older memberships.
			return;
		}
		this.membershipIndex = durable.index();
		for (RankState rankState : this.ranks) {
			Member member = durable.members().get(rankState.rank());
			if (member != null && !rankState.isAssignedTo(member)) {
				rankState.member().ifPresent((previous) -> this.commands.add(new ReleaseMember(previous)));
				rankState.assign(member, now);
				this.spares.remove(member);
			}
		}
	}

	private void checkHealth(RankState rankState, long now) {
		if (rankState.member().isEmpty() || rankState.health() == RankHealth.FAILED) {
			return;
		}
		if (rankState.isProbing() && now - rankState.probeStartedAt() >= this.settings.probeNanos()) {
			handleProbeFailed(rankState);
		}
		else if (now - rankState.lastContactAt() >= this.settings.suspectNanos()) {
			handleMissingHeartbeats(rankState, now);
		}
		else {
			checkStalled(rankState, now);
		}
	}

	private void handleMissingHeartbeats(RankState rankState, long now) {
		boolean groupProgresses = this.groupStep > rankState.step() + 1
				&& now - this.groupProgressAt < this.settings.suspectNanos();
		if (groupProgresses) {
			changeHealth(rankState, RankHealth.LATE, "group-goes-on");
		}
		else if (!rankState.isProbing()) {
			changeHealth(rankState, RankHealth.SUSPECTED, "silent");
			rankState.startProbe(now);
			this.commands.add(new ProbeMember(rankState.member().orElseThrow()));
		}
	}

	private void checkStalled(RankState rankState, long now) {
		boolean groupHasAdvanced = rankState.step() >= 0 && this.groupStep > rankState.step() + 1;
		if (groupHasAdvanced) {
			return;
		}
		boolean recent = hasRecentHeartbeat(rankState, now);
		boolean blocksOthers = recent ? rankState.activity() == EngineActivity.COMPUTING && anyRankWaitsForPeers()
				: allOthersWaitForPeers(rankState, now);
		long blockedNanos = now - (recent ? rankState.lastChangeAt()
				: Math.max(rankState.lastHeartbeatAt(), lastChangeOfOthers(rankState)));
		if (blocksOthers && blockedNanos >= this.settings.replaceNanos() && this.spares.size() > 0) {
			changeHealth(rankState, RankHealth.FAILED, "stalled-too-long");
		}
		else if (blocksOthers && blockedNanos >= this.settings.stallNanos()) {
			changeHealth(rankState, RankHealth.STALLED, "holds-others-back");
		}
	}

	private boolean hasRecentHeartbeat(RankState rankState, long now) {
		return now - rankState.lastHeartbeatAt() < this.settings.suspectNanos();
	}

	private boolean anyRankWaitsForPeers() {
		return this.ranks.stream().anyMatch((other) -> other.activity() == EngineActivity.WAITING_FOR_PEERS);
	}

	private boolean allOthersWaitForPeers(RankState rankState, long now) {
		return this.ranks.stream()
			.filter((other) -> other != rankState)
			.allMatch(
					(other) -> other.activity() == EngineActivity.WAITING_FOR_PEERS && hasRecentHeartbeat(other, now));
	}

	private long lastChangeOfOthers(RankState rankState) {
		return this.ranks.stream()
			.filter((other) -> other != rankState)
			.mapToLong(RankState::lastChangeAt)
			.max()
			.orElse(this.groupProgressAt);
	}

	private void fillEmptyRanks(long now) {
		for (RankState rankState : this.ranks) {
			boolean expired = now - rankState.candidateSince() >= this.settings.suspectNanos();
			boolean assignable = rankState.candidate().isEmpty() || expired;
			if (assignable && (rankState.member().isEmpty() || rankState.health() == RankHealth.FAILED)) {
				this.spares.poll()
					.or(rankState::candidate)
					.ifPresent((spare) -> requestAssignment(rankState, spare, now));
			}
		}
	}

	private void requestAssignment(RankState rankState, Member member, long now) {
		rankState.setCandidate(member, now);
		recordDecision(rankState.rank(), "member-chosen", Field.of("member", member),
				Field.of("former", rankState.member().map(Member::toString).orElse("none")));
		this.commands.add(new RequestAssignment(rankState.rank(), member));
	}

	private void updateState() {
		boolean running = this.ranks.stream().allMatch(RankState::isRunning);
		if (running && this.state != GroupState.RUNNING) {
			this.state = GroupState.RUNNING;
			this.commands.add(new RouteGroup());
		}
		else if (!running && this.state == GroupState.RUNNING) {
			this.state = GroupState.REFORMING;
			this.commands.add(new WithdrawGroup());
		}
	}

	private void dissolve() {
		this.state = GroupState.DISSOLVED;
		this.commands.add(new WithdrawGroup());
		this.ranks.stream()
			.flatMap((rankState) -> rankState.member().stream())
			.sorted(Comparator.comparing(Member::server))
			.forEach((member) -> this.commands.add(new ReleaseMember(member)));
	}

	private Optional<RankState> findRankOf(Member member) {
		return this.ranks.stream().filter((rankState) -> rankState.isAssignedTo(member)).findFirst();
	}

	private void changeHealth(RankState rankState, RankHealth health, String reason) {
		if (rankState.updateHealth(health)) {
			recordDecision(rankState.rank(), "rank-" + health.name().toLowerCase(Locale.ROOT),
					Field.of("reason", reason), Field.of("step", rankState.step()),
					Field.of("group-step", this.groupStep));
		}
	}

	private void recordDecision(int rank, String result, Field... inputs) {
		List<Field> fields = new ArrayList<>(List.of(inputs));
		fields.add(0, Field.of("rank", rank));
		this.listener.onDecision(new DecisionRecord(DecisionKind.MEMBERSHIP, this.group, result, fields));
	}

}
