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
 * The leader's membership core: it derives the members from the reports of the relay
 * tree.
 * <p>
 * A member that is no longer reported is marked as failed only after probes by other
 * nodes over their own network paths have failed as well. Members that return too often
 * are held back with exponentially increasing delays. At most {@value #MAX_MEMBERS}
 * members are tracked.
 */
final class Membership {

	/** The maximum number of tracked members. */
	static final int MAX_MEMBERS = 16_384;

	private static final int FREE_RETURNS = 3;

	private static final long RETURN_WINDOW_NANOS = Duration.ofMinutes(10).toNanos();

	private final NodeDescriptor self;

	private final MembershipSettings settings;

	private final DecisionListener decisions;

	private final Publication publication;

	private final SuspicionJudge judge;

	private final Map<InstanceId, Member> members = new HashMap<>();

	private boolean leading;

	private long stamp;

	Membership(NodeDescriptor self, MembershipSettings settings, RandomGenerator random, DecisionListener decisions) {
		this.self = self;
		this.settings = settings;
		this.decisions = decisions;
		this.publication = new Publication(settings.publishInterval().toNanos());
		this.judge = new SuspicionJudge(self, settings, random);
	}

	/**
	 * Starts maintaining the members as the leader, from those of the membership stream.
	 * @param entries the entries of the stream
	 * @param now the current monotonic time in nanoseconds
	 */
	void lead(Map<String, Bytes> entries, long now) {
		resign();
		this.leading = true;
		MemberView view = new MemberView();
		entries.forEach(view::set);
		this.stamp = view.highestStamp();
		view.records().forEach((record) -> restore(record, view.isDomainFailedSince(record), now));
		present(new MemberReport(this.self, Presence.PRESENT), now);
	}

	void resign() {
		this.leading = false;
		this.members.clear();
		this.publication.clear();
		this.judge.clear();
	}

	void onReports(List<MemberReport> reports, long now) {
		if (!this.leading) {
			return;
		}
		for (MemberReport report : reports) {
			if (report.presence() == Presence.ABSENT) {
				absent(report.node(), now);
			}
			else {
				present(report, now);
			}
		}
	}

	void onLeave(NodeDescriptor node, long now) {
		Member member = this.members.get(node.id());
		if (!this.leading) {
			return;
		}
		if (member == null || member.node().incarnation().isBefore(node.incarnation())) {
			join(new MemberReport(node, Presence.LEAVING), now);
			this.members.get(node.id()).unheard(now, this.settings.grace().toNanos());
		}
		else if (member.node().incarnation().equals(node.incarnation())) {
			leave(member);
		}
	}

	void onProbed(Peer prober, ProbeResult result, long now) {
		Optional.ofNullable(this.members.get(result.target()))
			.ifPresent((member) -> this.judge.onResult(member, prober, result, now));
	}

	void tick(long now) {
		if (!this.leading) {
			return;
		}
		List.copyOf(this.members.values()).forEach((member) -> maintain(member, now));
		SuspicionJudge.Verdicts failures = this.judge.judge(this.members.values(), now);
		failures.failed().forEach((member) -> fail(member, now));
		failures.failedDomains().forEach((failure) -> failDomain(failure, now));
	}

	List<EntryChange> takeChanges(long now) {
		return this.publication.take(now);
	}

	List<ProbeOrder> takeProbes() {
		return this.judge.takeProbes();
	}

	/**
	 * Returns the members that have not failed but are currently not reported.
	 * @return their identifiers
	 */
	List<InstanceId> unheard() {
		List<InstanceId> unreported = new ArrayList<>();
		for (Member member : this.members.values()) {
			if (!member.isHeard() && member.state() != MemberState.FAILED) {
				unreported.add(member.id());
			}
		}
		return unreported;
	}

	private void restore(MemberRecord record, boolean domainFailed, long now) {
		MemberState state = domainFailed ? MemberState.FAILED : record.state();
		Member member = new Member(new MemberRecord(record.node(), state, record.stamp()));
		member.unheard(now, this.settings.takeoverGrace().toNanos());
		member.failed(now);
		this.members.put(member.id(), member);
	}

	private void present(MemberReport report, long now) {
		Member member = this.members.get(report.node().id());
		if (member == null || member.node().incarnation().isBefore(report.node().incarnation())) {
			join(report, now);
		}
		else if (report.node().incarnation().equals(member.node().incarnation())) {
			heardAgain(member, report, now);
		}
	}

	private void join(MemberReport report, long now) {
		Member member = this.members.get(report.node().id());
		if (member == null && this.members.size() >= MAX_MEMBERS) {
			decide(report.node(), "refused-full");
			return;
		}
		MemberState state = (report.presence() == Presence.LEAVING) ? MemberState.LEAVING : MemberState.ACTIVE;
		if (member == null) {
			member = new Member(new MemberRecord(report.node(), state, ++this.stamp));
			this.members.put(member.id(), member);
			publish(member, state, "joined");
		}
		else {
			member.record(new MemberRecord(report.node(), member.state(), member.record().stamp()));
			member.beginLife();
			comeBack(member, state, now);
		}
		member.heard();
	}

	private void heardAgain(Member member, MemberReport report, long now) {
		boolean wasReported = member.isHeard();
		member.heard();
		if (report.presence() == Presence.LEAVING) {
			leave(member);
		}
		else if (member.state() == MemberState.FAILED && !wasReported) {
			comeBack(member, member.isLeft() ? MemberState.LEAVING : MemberState.ACTIVE, now);
		}
	}

	private void comeBack(Member member, MemberState state, long now) {
		int excess = member.countReturn(now, RETURN_WINDOW_NANOS) - FREE_RETURNS;
		if (excess <= 0 || state == MemberState.LEAVING) {
			member.hold(0);
			publish(member, state, "returned");
			return;
		}
		long delay = this.settings.damping().toNanos() << Math.min(excess - 1, 10);
		member.hold(now + Math.min(delay, this.settings.maxDamping().toNanos()));
		member.failed(now);
		publish(member, MemberState.FAILED, "held-back");
	}

	private void leave(Member member) {
		if (member.state() != MemberState.LEAVING) {
			member.record(new MemberRecord(member.node(), MemberState.LEAVING, ++this.stamp));
			this.publication.addUrgent(MemberEntries.set(member.record()));
			decide(member.node(), "leaving");
		}
	}

	private void absent(NodeDescriptor node, long now) {
		Member member = this.members.get(node.id());
		if (member != null && member.isHeard() && !node.incarnation().isBefore(member.node().incarnation())) {
			member.unheard(now, this.settings.grace().toNanos());
		}
	}

	private void maintain(Member member, long now) {
		boolean failed = member.state() == MemberState.FAILED;
		if (failed && member.isHeard() && member.heldUntil() != 0 && now >= member.heldUntil()) {
			member.hold(0);
			publish(member, MemberState.ACTIVE, "released");
		}
		else if (member.state() == MemberState.LEAVING && member.isSuspect(now)) {
			remove(member, "left");
		}
		else if (failed && !member.isHeard() && now - member.failedAt() >= this.settings.keepFailed().toNanos()) {
			remove(member, "forgotten");
		}
	}

	private void remove(Member member, String reason) {
		this.members.remove(member.id());
		this.publication.add(MemberEntries.remove(member.id()));
		decide(member.node(), reason);
	}

	private void fail(Member member, long now) {
		Field opinions = Field.of("opinions", member.unreached().size());
		member.failed(now);
		publish(member, MemberState.FAILED, "failed", opinions);
	}

	private void failDomain(SuspicionJudge.FailedDomain failed, long now) {
		DomainFailure failure = new DomainFailure(failed.domain(), ++this.stamp);
		for (Member member : failed.members()) {
			member.failed(now);
			member.record(new MemberRecord(member.node(), MemberState.FAILED, member.record().stamp()));
		}
		this.publication.add(MemberEntries.set(failure));
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.MEMBERSHIP, failed.domain().value(), "domain-failed",
				Field.of("members", failed.members().size())));
	}

	private void publish(Member member, MemberState state, String reason, Field... inputs) {
		member.record(new MemberRecord(member.node(), state, ++this.stamp));
		this.publication.add(MemberEntries.set(member.record()));
		decide(member.node(), reason, inputs);
	}

	private void decide(NodeDescriptor node, String result, Field... inputs) {
		List<Field> fields = new ArrayList<>(List.of(inputs));
		fields.add(Field.of("incarnation", node.incarnation()));
		fields.add(Field.of("domain", node.domain()));
		this.decisions.onDecision(new DecisionRecord(DecisionKind.MEMBERSHIP, node.id().value(), result, fields));
	}

}
