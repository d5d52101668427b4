package org.comfreywall.group.life;

import java.util.Optional;

import org.comfreywall.group.mapswitch.Member;

/**
 * Mutable state of one rank in the group's lifecycle core.
 */
final class RankRecord {

	private static final long NEVER = -1;

	private final int rank;

	private Optional<Member> member = Optional.empty();

	private Optional<Member> chosen = Optional.empty();

	private RankHealth health = RankHealth.HEALTHY;

	private EngineActivity activity = EngineActivity.LOADING;

	private long step = NEVER;

	private long heardAt;

	private long reportedAt;

	private long movedAt;

	private long chosenAt;

	private long probedAt = NEVER;

	private int failedProbes;

	RankRecord(int rank) {
		this.rank = rank;
	}

	int rank() {
		return this.rank;
	}

	Optional<Member> member() {
		return this.member;
	}

	Optional<Member> chosen() {
		return this.chosen;
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

	long heardAt() {
		return this.heardAt;
	}

	long reportedAt() {
		return this.reportedAt;
	}

	long movedAt() {
		return this.movedAt;
	}

	long chosenAt() {
		return this.chosenAt;
	}

	boolean isProbing() {
		return this.probedAt != NEVER;
	}

	long probedAt() {
		return this.probedAt;
	}

	int failedProbes() {
		return this.failedProbes;
	}

	boolean isRunning() {
		return this.member.isPresent() && this.step >= 0 && this.health != RankHealth.FAILED
				&& this.health != RankHealth.STALLED;
	}

	boolean isHeldBy(Member candidate) {
		return this.member.filter(candidate::equals).isPresent();
	}

	void assign(Member newMember, long now) {
		this.member = Optional.of(newMember);
		this.chosen = Optional.empty();
		this.health = RankHealth.HEALTHY;
		this.activity = EngineActivity.LOADING;
		this.step = NEVER;
		this.movedAt = now;
		this.reportedAt = now;
		heard(now);
	}

	void choose(Member candidate, long now) {
		this.chosen = Optional.of(candidate);
		this.chosenAt = now;
	}

	void heard(long now) {
		this.heardAt = now;
		this.probedAt = NEVER;
		this.failedProbes = 0;
	}

	void reported(long newStep, EngineActivity newActivity, boolean afterGap, long now) {
		heard(now);
		this.reportedAt = now;
		// The engine's activity during a heartbeat gap is unknown, so the gap restarts
		// the stall timeout.
		if (newStep > this.step || newActivity != this.activity || afterGap) {
			this.movedAt = now;
		}
		this.step = Math.max(this.step, newStep);
		this.activity = newActivity;
	}

	void probe(long now) {
		this.probedAt = now;
	}

	void probeFailed() {
		this.probedAt = NEVER;
		this.failedProbes++;
	}

	boolean become(RankHealth newHealth) {
		boolean changed = this.health != newHealth;
		this.health = newHealth;
		return changed;
	}

}
