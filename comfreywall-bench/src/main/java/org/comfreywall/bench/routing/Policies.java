package org.comfreywall.bench.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The policies that are compared.
 */
final class Policies {

	static final String ROUTER = "router";

	private Policies() {
	}

	static Map<String, PolicyFactory> baselines() {
		Map<String, PolicyFactory> policies = new LinkedHashMap<>();
		policies.put("random", (entry, workers, random) -> (arrival, now) -> random.nextInt(workers));
		policies.put("round-robin", (entry, workers, random) -> new RoundRobinPolicy(entry, workers));
		policies.put("least-loaded", (entry, workers, random) -> new LeastLoadedPolicy(workers, workers, random));
		policies.put("power-of-two", (entry, workers, random) -> new LeastLoadedPolicy(workers, 2, random));
		policies.put("power-of-two-in-flight",
				(entry, workers, random) -> new InFlightPowerOfTwoPolicy(workers, random));
		return policies;
	}

	static PolicyFactory router() {
		return RouterPolicy::new;
	}

}
