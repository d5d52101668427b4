package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Estimates when a group of backend servers serves again after the loss of one of them.
 * <p>
 * The other servers reject requests until the lost one has restarted and the group has
 * formed again. Callers that return before are refused a second time, and many return
 * only once.
 */
final class GroupOutage {

	/** Interval at which single requests test whether the group serves again. */
	private static final long PROBE_INTERVAL_NANOS = 300_000_000L;

	/** Time in which a group that does not serve rejects a probe. */
	private static final long PROBE_ANSWER_NANOS = 100_000_000L;

	/**
	 * Time from the first rejection until the group serves again, until outages were
	 * measured: a server restarts within three seconds, half of which pass before its
	 * peers notice, and then the group forms.
	 */
	private static final double INITIAL_OUTAGE_NANOS = 2_200_000_000.0;

	private static final double MIN_OUTAGE_NANOS = 500_000_000.0;

	/** Callers do not wait longer for a retry. */
	private static final double MAX_OUTAGE_NANOS = 3_000_000_000.0;

	private static final double SMOOTHING = 0.3;

	/** Time in which a group forms after the restart of its last server. */
	private static final long FORMING_NANOS = 700_000_000L;

	/** A rejection after this time without any begins another outage. */
	private static final long OUTAGE_GAP_NANOS = 4_000_000_000L;

	private double usualNanos = INITIAL_OUTAGE_NANOS;

	private boolean down;

	private long firstRejectionAt;

	private long lastRejectionAt = Long.MIN_VALUE / 2;

	private long opensAt = Long.MIN_VALUE;

	private long probedAt = Long.MIN_VALUE / 2;

	/**
	 * Records that a server rejected a request because of a fault of another one.
	 * @param now the current time in nanoseconds
	 * @return {@code true} if an outage begins with it
	 */
	boolean recordRejection(long now) {
		boolean begins = !this.down || now - this.lastRejectionAt > OUTAGE_GAP_NANOS;
		if (begins) {
			this.down = true;
			this.firstRejectionAt = now;
			this.opensAt = Long.MIN_VALUE;
		}
		this.lastRejectionAt = now;
		return begins;
	}

	/**
	 * Records that a request is sent to the group.
	 * @param now the current time in nanoseconds
	 */
	void recordSent(long now) {
		if (this.down && this.probedAt < this.lastRejectionAt) {
			this.probedAt = now;
		}
	}

	/**
	 * Returns whether a first request after a rejection may still be rejected, so that
	 * others are to be sent elsewhere if they can.
	 * @param now the current time in nanoseconds
	 * @return {@code true} for a short time after the first request
	 */
	boolean isProbed(long now) {
		return this.down && this.probedAt >= this.lastRejectionAt && now - this.probedAt < PROBE_ANSWER_NANOS;
	}

	/**
	 * Records that a server restarted at its address.
	 * @param now the current time in nanoseconds
	 */
	void recordRestart(long now) {
		if (this.down) {
			this.opensAt = now + FORMING_NANOS;
		}
	}

	/**
	 * Records that a server answered a request.
	 * @param now the current time in nanoseconds
	 * @return the duration of the outage that ends with it, if one does
	 */
	Optional<Duration> recordAnswer(long now) {
		if (!this.down || isClosed(now)) {
			return Optional.empty();
		}
		this.down = false;
		long nanos = now - this.firstRejectionAt;
		double measured = Math.min(MAX_OUTAGE_NANOS, Math.max(MIN_OUTAGE_NANOS, nanos));
		this.usualNanos += SMOOTHING * (measured - this.usualNanos);
		return Optional.of(Duration.ofNanos(nanos));
	}

	/**
	 * Returns whether requests must not be sent to the group.
	 * @param now the current time in nanoseconds
	 * @return {@code true} until the next probe is due or the group has formed
	 */
	boolean isClosed(long now) {
		return now - this.lastRejectionAt < PROBE_INTERVAL_NANOS || now < this.opensAt;
	}

	/**
	 * Returns when the group opens if that is known.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, or empty until the lost server has restarted
	 */
	OptionalLong opensAt(long now) {
		return (now < this.opensAt) ? OptionalLong.of(this.opensAt) : OptionalLong.empty();
	}

	/**
	 * Returns the expected time until the group serves again.
	 * @param now the current time in nanoseconds
	 * @return the time in nanoseconds, at least until the next probe
	 */
	long expectedNanos(long now) {
		long expected = opensAt(now).orElse(this.firstRejectionAt + (long) this.usualNanos);
		return Math.max(PROBE_INTERVAL_NANOS, expected - now);
	}

}
