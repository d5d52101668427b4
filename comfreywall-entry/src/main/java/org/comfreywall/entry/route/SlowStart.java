package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Slow start: includes a backend server that is new or was ejected in a linearly growing
 * share of the choices.
 */
final class SlowStart {

	private static final double MIN_SHARE = 0.05;

	private final long windowNanos;

	private final RandomGenerator random;

	SlowStart(long windowNanos, RandomGenerator random) {
		this.windowNanos = windowNanos;
		this.random = random;
	}

	/**
	 * Omits servers in slow start at random.
	 * @param servers the eligible servers
	 * @param now the present time in nanoseconds
	 * @return the remaining servers; all servers if none would remain
	 */
	List<ServerState> filterServers(List<ServerState> servers, long now) {
		List<ServerState> included = new ArrayList<>(servers.size());
		for (ServerState server : servers) {
			if (includesServer(server, now)) {
				included.add(server);
			}
		}
		return included.isEmpty() ? servers : included;
	}

	private boolean includesServer(ServerState server, long now) {
		long age = now - server.slowStartFrom();
		return age >= this.windowNanos
				|| this.random.nextDouble() < Math.max(MIN_SHARE, (double) age / this.windowNanos);
	}

}
