package org.comfreywall.bench.life;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.group.mapswitch.Member;

/**
 * A server that may die, stall or fall silent, each until some time.
 */
final class FakeMember {

	/** A recovery shorter than this may pass between two reports unseen. */
	private static final long UNSEEN_NANOS = 600_000_000;

	private final BackendServerId server;

	private long incarnation = 1;

	private long deadUntil;

	private long stalledSince;

	private long stalledUntil;

	private long silentUntil;

	FakeMember(String name) {
		this.server = BackendServerId.of(name);
	}

	Member member() {
		return new Member(this.server, Incarnation.of(this.incarnation));
	}

	boolean is(Member other) {
		return member().equals(other);
	}

	boolean isDead(long now) {
		return now < this.deadUntil;
	}

	boolean isStalled(long now) {
		return now < this.stalledUntil;
	}

	boolean isSilent(long now) {
		return now < this.silentUntil;
	}

	long stallLength(long now) {
		return Math.min(now, this.stalledUntil) - this.stalledSince;
	}

	long stalledUntil() {
		return this.stalledUntil;
	}

	void die(long now, long duration) {
		this.incarnation++;
		this.deadUntil = now + duration;
		this.stalledUntil = 0;
		this.stalledSince = 0;
	}

	void stall(long now, long duration) {
		if (now - this.stalledUntil >= UNSEEN_NANOS) {
			this.stalledSince = now;
		}
		this.stalledUntil = now + duration;
	}

	void fallSilent(long now, long duration) {
		this.silentUntil = now + duration;
	}

	void restart() {
		this.incarnation++;
	}

}
