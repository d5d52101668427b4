package org.comfreywall.bench.routing;

import java.util.random.RandomGenerator;

import org.comfreywall.entry.route.LoadReport;

/**
 * Power of k random choices by reported load: draws backend servers at random and chooses
 * the one whose last load report has the fewest running and queued requests. If every
 * backend server is drawn, this is the least loaded of all. Ties are broken at random.
 * Reports arrive with a delay, so that the load may be outdated.
 */
final class LeastLoadedPolicy implements LoadBalancingPolicy {

	private final int[] requests;

	private final int choices;

	private final RandomGenerator random;

	LeastLoadedPolicy(int servers, int choices, RandomGenerator random) {
		this.requests = new int[servers];
		this.choices = choices;
		this.random = random;
	}

	@Override
	public int choose(Arrival arrival, long now) {
		int[] candidates = this.random.ints(0, this.requests.length).distinct().limit(this.choices).toArray();
		int best = candidates[0];
		for (int server : candidates) {
			best = (this.requests[server] < this.requests[best]) ? server : best;
		}
		return best;
	}

	@Override
	public void onLoadReport(int server, LoadReport report, long now) {
		this.requests[server] = report.running() + report.queued();
	}

}
