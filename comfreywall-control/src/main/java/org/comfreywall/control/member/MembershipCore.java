package org.comfreywall.control.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.spread.EntryChange;
import org.comfreywall.control.spread.MemberReport;
import org.comfreywall.control.spread.NodeDescriptor;
import org.comfreywall.control.spread.Peer;
import org.comfreywall.control.spread.Presence;
import org.comfreywall.control.spread.ProbeResult;

/**
 * The leader's membership core, which maintains the members from the reports that arrive
 * through the relay tree.
 * <p>
 * A member that is no longer reported is declared failed only after probes by other
 * nodes, over their own network paths, have failed as well. Flap damping delays the
 * return of a member that fails or restarts too often; the delay doubles with each
 * further return. At most {@value #MAX_MEMBERS} members are tracked.
 */
final class MembershipCore {

	/** The maximum number of tracked members. */
	static final int MAX_MEMBERS = 16_384;

	private static final int MAX_IMMEDIATE_RETURNS = 3;

	private static final long RETURN_WINDOW_NANOS = Duration.ofMinutes(10).toNanos();

	private final NodeDescriptor self;

	private final MembershipSettings settings;

	private final DecisionListener decisions;

	private final ChangeBatcher changeBatcher;

	private final FailureDetector failureDetector;

	private final Map<InstanceId, Member> members = new HashMap<>();

	private boolean leading;

	private long lastSequence;

	MembershipCore(NodeDescriptor self, MembershipSettings settings, RandomGenerator random,
			DecisionListener decisions) {
		this.self = self;
		this.settings = settings;
		this.decisions = decisions;
		this.changeBatcher = new ChangeBatcher(settings.publishInterval().toNanos());
		this.failureDetector = new FailureDetector(self, settings, random);
	}

	/**
	 * Starts maintaining the members as the leader. The initial members are those of the
	 * membership stream.
	 * @param entries the entries of the membership stream
	 * @param now the current monotonic time in nanoseconds
	 */
	void startLeading(Map<String, Bytes> entries, long now) {
		stopLeading();
		this.leading = true;
		MemberView view = new MemberView();
		entries.forEach(view::applyEntry);
		this.lastSequence = view.highestSequence();
		view.records().forEach((record) -> restore(record, view.isDomainFailedSince(record), now));
		handlePresent(new MemberReport(this.self, Presence.PRESENT), now);
	}

	void stopLeading() {
		this.leading = false;
		this.members.clear();
		this.changeBatcher.clear();
		this.failureDetector.clear();
	}

	void onReports(List<MemberReport> reports, long now) {
		if (!this.leading) {
			return;
		}
		for (MemberReport report : reports) {
			if (report.presence() == Presence.ABSENT) {
				handleAbsent(report.node(), now);
			}
			else {
				handlePresent(report, now);
			}
		}
	}

	void onLeaveNotice(NodeDescriptor node, long now) {
		Member member = this.members.get(node.id());
		if (!this.leading) {
			return;
		}
		if (member == null || member.node().incarnation().isBefore(node.incarnation())) {
			join(new MemberReport(node, Presence.LEAVING), now);
			this.members.get(node.id()).markUnreported(now, this.settings.suspicionTimeout().toNanos());
		}
		else if (member.node().incarnation().equals(node.incarnation())) {
			markLeaving(member);
		}
	}

	void onProbeResult(Peer prober, ProbeResult result, long now) {
		Optional.ofNullable(this.members.get(result.target()))
			.ifPresent((member) -> this.failureDetector.onProbeResult(member, prober, result, now));
	}

	void tick(long now) {
		if (!this.leading) {
			return;
		}
		List.copyOf(this.members.values()).forEach((member) -> applyTimeouts(member, now));
		FailureDetector.DetectedFailures failures = this.failureDetector.detectFailures(this.members.values(), now);
		failures.failed().forEach((member) -> markFailed(member, now));
		failures.failedDomains().forEach((failedDomain) -> markDomainFailed(failedDomain, now));
	}

	List<EntryChange> takeChanges(long now) {
		return this.changeBatcher.takeIfDue(now);
	}

	List<ProbeAssignment> takeProbeAssignments() {
		return this.failureDetector.takeProbeAssignments();
	}

	/**
	 * Returns the members that have not failed but are not reported by any node.
	 * @return the members' identifiers
	 */
	List<InstanceId> unreportedMembers() {
		List<InstanceId> unreported = new ArrayList<>();
		for (Member member : this.members.values()) {
			if (!member.isReported() && member.state() != MemberState.FAILED) {
				unreported.add(member.id());
			}
		}
		return unreported;
	}

	private void restore(MemberRecord record, boolean domainFailed, long now) {
		MemberState state = domainFailed ? MemberState.FAILED : record.state();
		Member member = new Member(new MemberRecord(record.node(), state, record.sequence()));
		member.markUnreported(now, this.settings.takeoverSuspicionTimeout().toNanos());
		member.markFailed(now);
		this.members.put(member.id(), member);
	}

	private void handlePresent(MemberReport report, long now) {
		Member member = this.members.get(report.node().id());
		if (member == null || member.node().incarnation().isBefore(report.node().incarnation())) {
			join(report, now);
		}
		else if (report.node().incarnation().equals(member.node().incarnation())) {
			handleReported(member, report, now);
		}
	}

	private void join(MemberReport report, long now) {
		Member member = this.members.get(report.node().id());
		if (member == null && this.members.size() >= MAX_MEMBERS) {
			recordDecision(report.node(), "refused-full");
			return;
		}
		MemberState state = (report.presence() == Presence.LEAVING) ? MemberState.LEAVING : MemberState.ACTIVE;
		if (member == null) {
			member = new Member(new MemberRecord(report.node(), state, ++this.lastSequence));
			this.members.put(member.id(), member);
			publish(member, state, "joined");
		}
		else {
			member.setRecord(new MemberRecord(report.node(), member.state(), member.record().sequence()));
			member.beginIncarnation();
			handleReturn(member, state, now);
		}
		member.markReported();
	}

	private void handleReported(Member member, MemberReport report, long now) {
		boolean wasReported = member.isReported();
		member.markReported();
		if (report.presence() == Presence.LEAVING) {
			markLeaving(member);
		}
		else if (member.state() == MemberState.FAILED && !wasReported) {
			handleReturn(member, member.wasLeaving() ? MemberState.LEAVING : MemberState.ACTIVE, now);
		}
	}

	private void handleReturn(Member member, MemberState state, long now) {
		int excessReturns = member.countReturn(now, RETURN_WINDOW_NANOS) - MAX_IMMEDIATE_RETURNS;
		if (excessReturns <= 0 || state == MemberState.LEAVING) {
			member.delayReturnUntil(0);
			publish(member, state, "returned");
			return;
		}
		long delay = this.settings.initialReturnDelay().toNanos() << Math.min(excessReturns - 1, 10);
		member.delayReturnUntil(now + Math.min(delay, this.settings.maxReturnDelay().toNanos()));
		member.markFailed(now);
		publish(member, MemberState.FAILED, "held-back");
	}

	private void markLeaving(Member member) {
		if (member.state() != MemberState.LEAVING) {
			member.setRecord(new MemberRecord(member.node(), MemberState.LEAVING, ++this.lastSequence));
			this.changeBatcher.addUrgent(MemberEntries.toEntryChange(member.record()));
			recordDecision(member.node(), "leaving");
		}
	}

	private void handleAbsent(NodeDescriptor node, long now) {
		Member member = this.members.get(node.id());
		if (member != null && member.isReported() && !node.incarnation().isBefore(member.node().incarnation())) {
			member.markUnreported(now, this.settings.suspicionTimeout().toNanos());
		}
	}

	private void applyTimeouts(Member member, long now) {
		boolean failed = member.state() == MemberState.FAILED;
		if (failed && member.isReported() && member.returnDelayedUntil() != 0 && now >= member.returnDelayedUntil()) {
			member.delayReturnUntil(0);
			publish(member, MemberState.ACTIVE, "released");
		}
		else if (member.state() == MemberState.LEAVING && member.isSuspected(now)) {
			remove(member, "left");
		}
		else if (failed && !member.isReported()
				&& now - member.failedAt() >= this.settings.failedRetention().toNanos()) {
			remove(member, "forgotten");
		}
	}

	private void remove(Member member, String reason) {
		this.members.remove(member.id());
		this.changeBatcher.add(MemberEntries.toRemoval(member.id()));
		recordDecision(member.node(), reason);
	}

	private void markFailed(Member member, long now) {
		Field failedProbers = Field.of("opinions", member.failedProbers().size());
		member.markFailed(now);
		publish(member, MemberState.FAILED, "failed", failedProbers);
	}

	private void markDomainFailed(FailureDetector.FailedDomain failedDomain, long now) {
		DomainFailure failure = new DomainFailure(failedDomain.domain(), ++this.lastSequence);
		for (Member member : failedDomain.members()) {
			member.markFailed(now);
			member.setRecord(new MemberRecord(member.node(), MemberState.FAILED, member.record().sequence()));
		}
		this.changeBatcher.add(MemberEntries.toEntryChange(failure));
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.MEMBERSHIP, failedDomain.domain().value(),
				"domain-failed", Field.of("members", failedDomain.members().size())));
	}

	private void publish(Member member, MemberState state, String reason, Field... inputs) {
		member.setRecord(new MemberRecord(member.node(), state, ++this.lastSequence));
		this.changeBatcher.add(MemberEntries.toEntryChange(member.record()));
		recordDecision(member.node(), reason, inputs);
	}

	private void recordDecision(NodeDescriptor node, String result, Field... inputs) {
		List<Field> fields = new ArrayList<>(List.of(inputs));
		fields.add(Field.of("incarnation", node.incarnation()));
		fields.add(Field.of("domain", node.domain()));
		this.decisions.onDecision(new DecisionRecord(DecisionKind.MEMBERSHIP, node.id().value(), result, fields));
	}

}
