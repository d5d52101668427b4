package org.comfreywall.entry.admit;

import java.util.EnumMap;
import java.util.Map;

/**
 * Measures the mean run time of the requests in a window by Little's law, as the integral
 * of the running work over the finished work. Unlike a mean over the finished requests,
 * this is not biased towards those that end first.
 */
final class LoadWindow {

	private final Map<FinishKind, Integer> endedByKind = new EnumMap<>(FinishKind.class);

	private long startedAt;

	private long changedAt;

	private int running;

	private int mostRunning;

	private double runningCost;

	private double costNanos;

	private double doneCost;

	private int count;

	void started(double cost, long now) {
		advance(now);
		this.running++;
		this.runningCost += cost;
		this.mostRunning = Math.max(this.mostRunning, this.running);
	}

	void ended(FinishKind kind, double cost, long now) {
		advance(now);
		this.running--;
		this.runningCost = (this.running > 0) ? this.runningCost - cost : 0;
		this.doneCost += cost;
		this.count++;
		this.endedByKind.merge(kind, 1, Integer::sum);
	}

	void restart(long now) {
		advance(now);
		this.startedAt = now;
		this.mostRunning = this.running;
		this.costNanos = 0;
		this.doneCost = 0;
		this.count = 0;
		this.endedByKind.clear();
	}

	double meanNanosPerCost() {
		return this.costNanos / this.doneCost;
	}

	double share(FinishKind kind) {
		return (double) this.endedByKind.getOrDefault(kind, 0) / this.count;
	}

	long length(long now) {
		return now - this.startedAt;
	}

	int count() {
		return this.count;
	}

	int running() {
		return this.running;
	}

	int mostRunning() {
		return this.mostRunning;
	}

	private void advance(long now) {
		if (this.changedAt == 0 && this.startedAt == 0) {
			this.startedAt = now;
		}
		else {
			this.costNanos += this.runningCost * (now - this.changedAt);
		}
		this.changedAt = now;
	}

}
