package org.comfreywall.group.life;

import java.util.Optional;

import org.comfreywall.group.mapswitch.Member;

/**
 * Mutable state of one rank in the group's lifecycle core.
 */
final class RankState {

	private static final long NEVER = -1;

	private final int rank;

	private Optional<Member> member = Optional.empty();

	private Optional<Member> candidate = Optional.empty();

	private RankHealth health = RankHealth.HEALTHY;

	private EngineActivity activity = EngineActivity.LOADING;

	private long step = NEVER;

	private long lastContactAt;

	private long lastHeartbeatAt;

	private long lastChangeAt;

	private long candidateSince;

	private long probeStartedAt = NEVER;

	private int failedProbes;

	RankState(int rank) {
		this.rank = rank;
	}

	int rank() {
		return this.rank;
	}

	Optional<Member> member() {
		return this.member;
	}

	Optional<Member> candidate() {
		return this.candidate;
	}

	RankHealth health() {
		return this.health;
	}

	EngineActivity activity() {
		return this.activity;
	}

	long step() {
		return this.step;
	}

	long lastContactAt() {
		return this.lastContactAt;
	}

	long lastHeartbeatAt() {
		return this.lastHeartbeatAt;
	}

	long lastChangeAt() {
		return this.lastChangeAt;
	}

	long candidateSince() {
		return this.candidateSince;
	}

	boolean isProbing() {
		return this.probeStartedAt != NEVER;
	}

	long probeStartedAt() {
		return this.probeStartedAt;
	}

	int failedProbes() {
		return this.failedProbes;
	}

	boolean isRunning() {
		return this.member.isPresent() && this.step >= 0 && this.health != RankHealth.FAILED
				&& this.health != RankHealth.STALLED;
	}

	boolean isAssignedTo(Member candidate) {
		return this.member.filter(candidate::equals).isPresent();
	}

	void assign(Member newMember, long now) {
		this.member = Optional.of(newMember);
		this.candidate = Optional.empty();
		this.health = RankHealth.HEALTHY;
		this.activity = EngineActivity.LOADING;
		this.step = NEVER;
		this.lastChangeAt = now;
		this.lastHeartbeatAt = now;
		recordContact(now);
	}

	void setCandidate(Member candidate, long now) {
		this.candidate = Optional.of(candidate);
		this.candidateSince = now;
	}

	void recordContact(long now) {
		this.lastContactAt = now;
		this.probeStartedAt = NEVER;
		this.failedProbes = 0;
	}

	void recordHeartbeat(long newStep, EngineActivity newActivity, boolean afterGap, long now) {
		recordContact(now);
		this.lastHeartbeatAt = now;
		// The engine's activity during a heartbeat gap is unknown, so the gap restarts
		// the stall timeout.
		if (newStep > this.step || newActivity != this.activity || afterGap) {
			this.lastChangeAt = now;
		}
		this.step = Math.max(this.step, newStep);
		this.activity = newActivity;
	}

	void startProbe(long now) {
		this.probeStartedAt = now;
	}

	void recordFailedProbe() {
		this.probeStartedAt = NEVER;
		this.failedProbes++;
	}

	boolean updateHealth(RankHealth newHealth) {
		boolean changed = this.health != newHealth;
		this.health = newHealth;
		return changed;
	}

}
