package org.comfreywall.entry.admit;

import java.util.EnumMap;
import java.util.Map;

/**
 * Measures the mean run time per unit of cost of the requests in a window by Little's
 * law: the time integral of the running cost, divided by the cost of the requests that
 * ended. Unlike a mean of the requests that ended, this is not biased towards those that
 * end first.
 */
final class LatencyWindow {

	private final Map<FinishKind, Integer> endedByKind = new EnumMap<>(FinishKind.class);

	private long startedAtNanos;

	private long lastChangeAtNanos;

	private int running;

	private int maxRunning;

	private double runningCost;

	private double runningCostNanos;

	private double endedCost;

	private int endedCount;

	void requestStarted(double cost, long now) {
		integrateUntil(now);
		this.running++;
		this.runningCost += cost;
		this.maxRunning = Math.max(this.maxRunning, this.running);
	}

	void requestEnded(FinishKind kind, double cost, long now) {
		integrateUntil(now);
		this.running--;
		// Exactly 0 without running requests, so that rounding errors do not accumulate.
		this.runningCost = (this.running > 0) ? this.runningCost - cost : 0;
		this.endedCost += cost;
		this.endedCount++;
		this.endedByKind.merge(kind, 1, Integer::sum);
	}

	void restart(long now) {
		integrateUntil(now);
		this.startedAtNanos = now;
		this.maxRunning = this.running;
		this.runningCostNanos = 0;
		this.endedCost = 0;
		this.endedCount = 0;
		this.endedByKind.clear();
	}

	double meanNanosPerCost() {
		return this.runningCostNanos / this.endedCost;
	}

	// Returns the share of the ended requests that ended in the given way. At least one
	// request must have ended.
	double shareOfEnded(FinishKind kind) {
		return (double) this.endedByKind.getOrDefault(kind, 0) / this.endedCount;
	}

	long elapsedNanos(long now) {
		return now - this.startedAtNanos;
	}

	int endedCount() {
		return this.endedCount;
	}

	int running() {
		return this.running;
	}

	int maxRunning() {
		return this.maxRunning;
	}

	private void integrateUntil(long now) {
		// Both are 0 before the first event, which starts the window.
		if (this.lastChangeAtNanos == 0 && this.startedAtNanos == 0) {
			this.startedAtNanos = now;
		}
		else {
			this.runningCostNanos += this.runningCost * (now - this.lastChangeAtNanos);
		}
		this.lastChangeAtNanos = now;
	}

}
