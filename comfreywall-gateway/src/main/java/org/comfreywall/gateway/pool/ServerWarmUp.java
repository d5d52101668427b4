package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Until when one incarnation of a backend server is cold, and this entry's allowance for
 * it.
 */
final class ServerWarmUp {

	/** The longest time that a server can state. */
	private static final Duration MAX_COLD = Duration.ofMinutes(5);

	/**
	 * Announcements that were received earlier than this after another sign that the
	 * server is cold may have been sent before it, and do not end the cold time.
	 */
	private static final long ANNOUNCEMENT_DELAY_NANOS = 1_000_000_000L;

	/** Limits the log lines on a server whose announcements contradict each other. */
	private static final long MIN_REPORT_INTERVAL_NANOS = 1_000_000_000L;

	private final String server;

	private long coldUntil;

	private OptionalLong shortenedFrom = OptionalLong.empty();

	private boolean reportedCold;

	private long reportedAt;

	private WarmUpAllowance allowance;

	ServerWarmUp(String server, long now) {
		this.server = server;
		this.coldUntil = now;
		this.reportedAt = now - MIN_REPORT_INTERVAL_NANOS;
		this.allowance = new WarmUpAllowance(server, now);
	}

	void recordAnnounced(ColdReport report, long now) {
		long receivedAt = now - report.age().toNanos();
		long until = receivedAt + bounded(report.left());
		boolean outdated = this.shortenedFrom.isPresent() && receivedAt - this.shortenedFrom.getAsLong() < 0;
		if (until - this.coldUntil > 0 || !outdated) {
			update(until, now);
		}
	}

	/**
	 * Records a sign other than an announcement that the server is cold. It never ends
	 * the cold time: it may be older than it seems.
	 * @param left the time that the server stays cold
	 * @param since when the sign was received, in nanoseconds
	 * @param now the current time in nanoseconds
	 */
	void recordCold(Duration left, long since, long now) {
		long until = since + bounded(left);
		if (until - now > 0) {
			long from = since + ANNOUNCEMENT_DELAY_NANOS;
			if (this.shortenedFrom.isEmpty() || from - this.shortenedFrom.getAsLong() > 0) {
				this.shortenedFrom = OptionalLong.of(from);
			}
			if (until - this.coldUntil > 0) {
				update(until, now);
			}
		}
	}

	private static long bounded(Duration left) {
		return (left.compareTo(MAX_COLD) > 0) ? MAX_COLD.toNanos() : left.toNanos();
	}

	private void update(long until, long now) {
		if (!isCold(now) && until - now > 0) {
			this.allowance = new WarmUpAllowance(this.server, now);
		}
		this.coldUntil = until;
	}

	boolean isCold(long now) {
		return nanosLeft(now) > 0;
	}

	long nanosLeft(long now) {
		return this.coldUntil - now;
	}

	WarmUpAllowance allowance() {
		return this.allowance;
	}

	/**
	 * Returns whether the server has turned cold or warm since the last call that
	 * returned a change.
	 * @param now the current time in nanoseconds
	 * @return whether it is cold now; empty if nothing has changed
	 */
	Optional<Boolean> takeChange(long now) {
		boolean cold = isCold(now);
		if (cold == this.reportedCold || now - this.reportedAt < MIN_REPORT_INTERVAL_NANOS) {
			return Optional.empty();
		}
		this.reportedCold = cold;
		this.reportedAt = now;
		return Optional.of(cold);
	}

}
