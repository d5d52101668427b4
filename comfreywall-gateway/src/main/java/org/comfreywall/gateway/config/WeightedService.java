package org.comfreywall.gateway.config;

import org.comfreywall.common.util.Preconditions;

/**
 * A service with its weight in a route.
 *
 * @param service the service's name
 * @param weight its weight relative to the route's other services, not negative
 */
public record WeightedService(String service, int weight) {

	public WeightedService {
		Preconditions.notBlank(service, "service");
		Preconditions.check(weight >= 0, "weight must not be negative: %d", weight);
	}

}
