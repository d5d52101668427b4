package org.comfreywall.gateway.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.util.Preconditions;

/**
 * An immutable version of the configuration, indexed for lookups.
 */
public final class GatewayConfiguration {

	private final long version;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, ServiceSettings> services = new HashMap<>();

	private final Map<String, ClientAccount> accountsByKey = new HashMap<>();

	private final HttpLimits limits;

	private final boolean keysRequired;

	/**
	 * Creates a configuration.
	 * @param version the version, which increases with each change
	 * @param routes the routes, with unique pairs of host and path prefix
	 * @param services the services, including all that routes refer to
	 * @param accounts the client accounts, with unique keys; empty if requests need no
	 * key
	 * @param limits the limits on requests
	 * @throws IllegalArgumentException if a service is defined twice, two routes share
	 * host and path prefix, two accounts share a key, or a route refers to an unknown
	 * service
	 */
	public GatewayConfiguration(long version, List<Route> routes, List<ServiceSettings> services,
			List<ClientAccount> accounts, HttpLimits limits) {
		this.version = version;
		this.limits = Preconditions.notNull(limits, "limits");
		this.keysRequired = !accounts.isEmpty();
		for (ServiceSettings service : services) {
			Preconditions.check(this.services.put(service.name(), service) == null, "service %s is defined twice",
					service.name());
		}
		routes.forEach(this::add);
		accounts.forEach(this::add);
	}

	private void add(Route route) {
		for (WeightedService target : route.services()) {
			Preconditions.check(this.services.containsKey(target.service()),
					"route %s refers to the unknown service %s", route.name(), target.service());
		}
		List<Route> sameHost = this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>());
		for (Route other : sameHost) {
			Preconditions.check(!other.pathPrefix().equals(route.pathPrefix()),
					"two routes match the same host and path prefix: %s%s", route.host(), route.pathPrefix());
		}
		sameHost.add(route);
	}

	private void add(ClientAccount account) {
		for (String key : account.keys()) {
			ClientAccount other = this.accountsByKey.put(key, account);
			Preconditions.check(other == null || other.name().equals(account.name()),
					"two client accounts share a key: %s and %s", (other != null) ? other.name() : "", account.name());
		}
	}

	/**
	 * Finds the route of a request: the one with the longest matching path prefix among
	 * the routes of its host.
	 * @param host the host without port
	 * @param path the path without query
	 * @return the route, or empty if no route matches
	 */
	public Optional<Route> findRoute(String host, String path) {
		Route best = null;
		for (Route route : this.routesByHost.getOrDefault(host, List.of())) {
			boolean longer = best == null || route.pathPrefix().length() > best.pathPrefix().length();
			if (longer && path.startsWith(route.pathPrefix())) {
				best = route;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Returns the longest pause between two events that the callers of all streams of a
	 * service accept.
	 * @param service the service's name
	 * @return the shortest limit of the routes to the service; empty if none has one
	 */
	public Optional<Duration> maxPause(String service) {
		return this.routesByHost.values()
			.stream()
			.flatMap(List::stream)
			.filter((route) -> route.kind().isStream())
			.filter((route) -> route.services().stream().anyMatch((target) -> target.service().equals(service)))
			.flatMap((route) -> route.maxPause().stream())
			.min(Comparator.naturalOrder());
	}

	/**
	 * Finds the client account that holds a key.
	 * @param key the key
	 * @return the account, or empty if the key is unknown
	 */
	public Optional<ClientAccount> findAccount(String key) {
		return Optional.ofNullable(this.accountsByKey.get(key));
	}

	/**
	 * Finds a service.
	 * @param name the service's name
	 * @return its settings, or empty if it is unknown
	 */
	public Optional<ServiceSettings> findService(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the names of all services.
	 * @return the names
	 */
	public Set<String> serviceNames() {
		return Set.copyOf(this.services.keySet());
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on requests.
	 * @return the limits
	 */
	public HttpLimits limits() {
		return this.limits;
	}

	/**
	 * Returns whether requests must carry a key, except on open routes.
	 * @return {@code true} if there are client accounts
	 */
	public boolean keysRequired() {
		return this.keysRequired;
	}

}
