package org.comfreywall.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * Maps requests of one host and path prefix to services.
 *
 * @param name the route's name
 * @param host the host of the requests
 * @param pathPrefix the prefix of the paths of the requests
 * @param kind whether requests can be retried and whether responses are streams
 * @param timeout the maximum time that a request may take
 * @param objective the latency objective for a response, or for the first event of a
 * stream
 * @param maxPause the longest pause between two events of a stream that callers accept,
 * if it is limited
 * @param priority the priority under overload, 0 highest
 * @param services the services that the requests are distributed to; at least one has a
 * positive weight
 * @param attempts the maximum number of attempts for one request
 * @param open whether requests need no key
 */
public record Route(String name, String host, String pathPrefix, RequestKind kind, Duration timeout, Duration objective,
		Optional<Duration> maxPause, int priority, List<WeightedService> services, int attempts, boolean open) {

	public Route {
		Preconditions.notNull(name, "name");
		Preconditions.notBlank(host, "host");
		Preconditions.notBlank(pathPrefix, "pathPrefix");
		Preconditions.notNull(kind, "kind");
		Preconditions.check(timeout.toNanos() > 0, "timeout must be positive: %s", timeout);
		Preconditions.notNull(objective, "objective");
		Preconditions.notNull(maxPause, "maxPause");
		services = List.copyOf(services);
		Preconditions.check(services.stream().mapToInt(WeightedService::weight).sum() > 0,
				"services must have a positive weight in total: %s", services);
		Preconditions.check(attempts >= 1, "attempts must be at least 1: %d", attempts);
	}

	/**
	 * Selects a service by weight.
	 * @param random a uniformly distributed random number from 0 inclusive to 1 exclusive
	 * @return the service's name
	 */
	public String pickService(double random) {
		double left = random * this.services.stream().mapToInt(WeightedService::weight).sum();
		for (WeightedService service : this.services) {
			left -= service.weight();
			if (left < 0) {
				return service.service();
			}
		}
		return this.services.get(this.services.size() - 1).service();
	}

}
