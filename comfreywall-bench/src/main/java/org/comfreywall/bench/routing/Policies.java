package org.comfreywall.bench.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The load-balancing policies that are compared: the router and the baseline policies.
 */
final class Policies {

	static final String ROUTER = "router";

	private Policies() {
	}

	static Map<String, PolicyFactory> baselines() {
		Map<String, PolicyFactory> policies = new LinkedHashMap<>();
		policies.put("random", (entry, servers, random) -> (arrival, now) -> random.nextInt(servers));
		policies.put("round-robin", (entry, servers, random) -> new RoundRobinPolicy(entry, servers));
		policies.put("least-loaded", (entry, servers, random) -> new LeastLoadedPolicy(servers, servers, random));
		policies.put("power-of-two", (entry, servers, random) -> new LeastLoadedPolicy(servers, 2, random));
		policies.put("power-of-two-in-flight",
				(entry, servers, random) -> new InFlightPowerOfTwoPolicy(servers, random));
		return policies;
	}

	static PolicyFactory router() {
		return RouterPolicy::new;
	}

}
