package org.comfreywall.bench.limits;

/**
 * Checks a rate limit with burst by a leaky bucket used as a meter.
 * <p>
 * Spent amounts raise the level of the bucket, refunds lower it, and it drains at the
 * rate of the limit. The level at a time is the maximum, over all windows that end at
 * that time, of the amount spent less the amount refunded less the rate times the length
 * of the window. The limit therefore holds in every window exactly if the level never
 * exceeds the burst.
 */
final class LeakyBucketMeter {

	private final double drainPerNano;

	private final double burst;

	private double level;

	private double peakLevel;

	private long drainedAt;

	private long spent;

	LeakyBucketMeter(double perSecond, double burstSeconds) {
		this.drainPerNano = perSecond / 1e9;
		this.burst = perSecond * burstSeconds;
	}

	void spend(long amount, long now) {
		drain(now);
		this.spent += amount;
		this.level += amount;
		this.peakLevel = Math.max(this.peakLevel, this.level);
	}

	void refund(long amount, long now) {
		drain(now);
		this.level = Math.max(0, this.level - amount);
	}

	/**
	 * Returns the peak level of the bucket as a share of the burst.
	 * @return the share; above 1 if the limit was exceeded
	 */
	double peakShare() {
		return (this.peakLevel > 0) ? this.peakLevel / this.burst : 0;
	}

	long spent() {
		return this.spent;
	}

	private void drain(long now) {
		this.level = Math.max(0, this.level - this.drainPerNano * (now - this.drainedAt));
		this.drainedAt = now;
	}

}
