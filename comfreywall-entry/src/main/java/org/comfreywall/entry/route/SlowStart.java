package org.comfreywall.entry.route;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Lets a new backend server take part in a growing share of the choices.
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
	 * Leaves out new servers at random.
	 * @param servers the servers that may be chosen
	 * @param now the present time in nanoseconds
	 * @return the servers that take part; all if none would be left
	 */
	List<ServerState> admit(List<ServerState> servers, long now) {
		List<ServerState> admitted = new ArrayList<>(servers.size());
		for (ServerState server : servers) {
			if (admits(server, now)) {
				admitted.add(server);
			}
		}
		return admitted.isEmpty() ? servers : admitted;
	}

	private boolean admits(ServerState server, long now) {
		long age = now - server.slowStartFrom();
		return age >= this.windowNanos
				|| this.random.nextDouble() < Math.max(MIN_SHARE, (double) age / this.windowNanos);
	}

}
