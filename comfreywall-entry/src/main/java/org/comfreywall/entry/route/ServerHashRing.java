package org.comfreywall.entry.route;

import java.util.Arrays;

/**
 * A consistent-hash ring with several points for each server. The low
 * {@value #INDEX_BITS} bits of a point hold the index of its server.
 */
final class ServerHashRing {

	private static final int POINTS_PER_SERVER = 32;

	private static final int INDEX_BITS = 20;

	private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

	private final long[] points;

	/**
	 * Creates a ring.
	 * @param seeds the servers' hashes, fewer than 2^20
	 */
	ServerHashRing(long[] seeds) {
		this.points = new long[seeds.length * POINTS_PER_SERVER];
		for (int i = 0; i < this.points.length; i++) {
			int server = i / POINTS_PER_SERVER;
			this.points[i] = (Hashes.mix(seeds[server] + i % POINTS_PER_SERVER) & ~INDEX_MASK) | server;
		}
		Arrays.sort(this.points);
	}

	/**
	 * Returns the server whose point is the first at or after a position, wrapping
	 * around.
	 * @param point the position
	 * @return the server's index
	 */
	int successor(long point) {
		int found = Arrays.binarySearch(this.points, point);
		int index = (found >= 0) ? found : -found - 1;
		return (int) (this.points[index % this.points.length] & INDEX_MASK);
	}

}
