package org.comfreywall.bench.routing;

import java.util.random.RandomGenerator;

import org.comfreywall.entry.route.LoadReport;

/**
 * Chooses the worker with the fewest requests in the lagged reports, among some drawn at
 * random; equal ones at random.
 */
final class LeastLoadedPolicy implements EntryPolicy {

	private final int[] requests;

	private final int draws;

	private final RandomGenerator random;

	LeastLoadedPolicy(int workers, int draws, RandomGenerator random) {
		this.requests = new int[workers];
		this.draws = draws;
		this.random = random;
	}

	@Override
	public int choose(Arrival arrival, long now) {
		int[] order = this.random.ints(0, this.requests.length).distinct().limit(this.draws).toArray();
		int best = order[0];
		for (int worker : order) {
			best = (this.requests[worker] < this.requests[best]) ? worker : best;
		}
		return best;
	}

	@Override
	public void reported(int worker, LoadReport report, long now) {
		this.requests[worker] = report.running() + report.queued();
	}

}
