package org.comfreywall.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.generated.MemberInfo;

/**
 * Tracks the live members from the heartbeats received by this control instance.
 */
final class MemberTable {

	private static final Duration HEARTBEAT_TIMEOUT = Duration.ofSeconds(5);

	private static final int MAX_MEMBERS = 10_000;

	private final Clock clock;

	private final DecisionListener decisions;

	private final Map<String, Member> members = new TreeMap<>();

	MemberTable(Clock clock, DecisionListener decisions) {
		this.clock = Preconditions.notNull(clock, "clock");
		this.decisions = Preconditions.notNull(decisions, "decisions");
	}

	synchronized boolean recordHeartbeat(MemberInfo info) {
		Member known = this.members.get(info.getInstance());
		if (known == null && this.members.size() >= MAX_MEMBERS) {
			return false;
		}
		if (known != null && known.info.getIncarnation() > info.getIncarnation()) {
			return false;
		}
		if (known == null || known.info.getIncarnation() != info.getIncarnation()
				|| known.info.getLeaving() != info.getLeaving()) {
			record(info, info.getLeaving() ? "leaving" : "joined");
		}
		this.members.put(info.getInstance(), new Member(info, this.clock.nanoTime()));
		return true;
	}

	synchronized List<MemberInfo> live() {
		expire();
		List<MemberInfo> live = new ArrayList<>();
		this.members.values().forEach((member) -> live.add(member.info));
		return live;
	}

	private void expire() {
		long oldestLive = this.clock.nanoTime() - HEARTBEAT_TIMEOUT.toNanos();
		this.members.values().removeIf((member) -> {
			boolean expired = member.lastHeartbeatAt < oldestLive;
			if (expired) {
				record(member.info, "silent");
			}
			return expired;
		});
	}

	private void record(MemberInfo info, String result) {
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.MEMBERSHIP, info.getInstance(), result,
				Field.of("incarnation", info.getIncarnation()), Field.of("failure-domain", info.getFailureDomain()),
				Field.of("roles", info.getRolesList())));
	}

	/**
	 * A member and the monotonic time of its last heartbeat in nanoseconds.
	 */
	private record Member(MemberInfo info, long lastHeartbeatAt) {

	}

}
