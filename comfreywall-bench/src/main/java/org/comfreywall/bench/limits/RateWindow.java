package org.comfreywall.bench.limits;

/**
 * Finds the most that was spent in any window beyond what the rate allows.
 * <p>
 * The excess at a time is the greatest value, over all windows that end then, of what was
 * spent less what was refunded less the rate times the window's length. A limit with a
 * burst holds in every window exactly if the excess never exceeds the burst.
 */
final class RateWindow {

	private final double perNano;

	private final double burst;

	private double excess;

	private double worst;

	private long changedAt;

	private long spent;

	RateWindow(double perSecond, double burstSeconds) {
		this.perNano = perSecond / 1e9;
		this.burst = perSecond * burstSeconds;
	}

	void spend(long amount, long now) {
		decay(now);
		this.spent += amount;
		this.excess += amount;
		this.worst = Math.max(this.worst, this.excess);
	}

	void refund(long amount, long now) {
		decay(now);
		this.excess = Math.max(0, this.excess - amount);
	}

	/**
	 * Returns the worst excess as a share of the burst.
	 * @return the share; above 1 the limit was exceeded
	 */
	double worst() {
		return (this.worst > 0) ? this.worst / this.burst : 0;
	}

	long spent() {
		return this.spent;
	}

	private void decay(long now) {
		this.excess = Math.max(0, this.excess - this.perNano * (now - this.changedAt));
		this.changedAt = now;
	}

}
