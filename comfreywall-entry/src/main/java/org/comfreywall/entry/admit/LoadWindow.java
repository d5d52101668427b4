package org.comfreywall.entry.admit;

import java.util.EnumMap;
import java.util.Map;

/**
 * Measures the mean time of requests in a window as the work running over the work done
 * (Little's law), which does not favour the requests that end first.
 */
final class LoadWindow {

	private final Map<FinishKind, Integer> ended = new EnumMap<>(FinishKind.class);

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
		this.ended.merge(kind, 1, Integer::sum);
	}

	void restart(long now) {
		advance(now);
		this.startedAt = now;
		this.mostRunning = this.running;
		this.costNanos = 0;
		this.doneCost = 0;
		this.count = 0;
		this.ended.clear();
	}

	double meanNanosPerCost() {
		return this.costNanos / this.doneCost;
	}

	double share(FinishKind kind) {
		return (double) this.ended.getOrDefault(kind, 0) / this.count;
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
