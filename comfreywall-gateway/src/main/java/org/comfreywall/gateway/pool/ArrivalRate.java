package org.comfreywall.gateway.pool;

/**
 * Arrival rate of requests, from an exponential moving average of the gaps between them.
 */
final class ArrivalRate {

	/** Weight of a new gap; averages over about the last 20 requests. */
	private static final double SMOOTHING = 0.05;

	private static final double NANOS_PER_SECOND = 1e9;

	private double meanGapNanos = NANOS_PER_SECOND;

	private long lastArrival = Long.MIN_VALUE;

	/**
	 * Records an arrival.
	 * @param now the current time in nanoseconds
	 */
	void recordArrival(long now) {
		if (this.lastArrival != Long.MIN_VALUE) {
			double gap = Math.min(now - this.lastArrival, NANOS_PER_SECOND);
			this.meanGapNanos += SMOOTHING * (gap - this.meanGapNanos);
		}
		this.lastArrival = now;
	}

	/**
	 * Returns the current rate, which decays while no requests arrive.
	 * @param now the current time in nanoseconds
	 * @return the arrivals per second
	 */
	double perSecond(long now) {
		double sinceLast = (this.lastArrival != Long.MIN_VALUE) ? now - this.lastArrival : NANOS_PER_SECOND;
		return NANOS_PER_SECOND / Math.max(1, Math.max(this.meanGapNanos, sinceLast));
	}

}
