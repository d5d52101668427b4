package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.util.LruMap;

/**
 * What backend servers have said in responses: that they leave, or that they want a time
 * without requests. Retained when a server is removed, as it may be announced again.
 */
final class ServerRestrictions {

	/** The most servers whose signals are retained. */
	private static final int MAX_SIGNALS = 20_000;

	/** The longest time that a server can ask for. */
	private static final Duration MAX_REST = Duration.ofMinutes(5);

	/** Share of a rest by which it is lengthened at random. */
	private static final double MAX_REST_JITTER = 0.2;

	private static final double MAX_REST_JITTER_NANOS = 500_000_000;

	private final RandomGenerator random;

	/** Start of the latest incarnation that said in a response that it leaves. */
	private final Map<String, Long> leavingStarts = new LruMap<>(MAX_SIGNALS);

	private final Map<String, ServerRest> rests = new LruMap<>(MAX_SIGNALS);

	ServerRestrictions(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Records that a server leaves.
	 * @param server an announcement of the incarnation
	 * @return {@code true} if this was not known
	 */
	boolean recordLeaving(ServerAnnouncement server) {
		boolean known = hasLeft(server);
		if (!known) {
			this.leavingStarts.put(server.server(), server.startedMillis());
		}
		return !known;
	}

	boolean hasLeft(ServerAnnouncement server) {
		Long start = this.leavingStarts.get(server.server());
		return start != null && server.startedMillis() <= start;
	}

	/**
	 * Records that a server asked for a time without requests. The end is delayed at
	 * random, so that the entries do not return to the server together.
	 * @param server an announcement of the incarnation
	 * @param time the time that the server asked for; cut to five minutes
	 * @param now the current time in nanoseconds
	 * @return the rest; empty if the server rests as long already, or if it is an earlier
	 * incarnation
	 */
	Optional<ServerRest> recordRest(ServerAnnouncement server, Duration time, long now) {
		long nanos = Math.min(time.toNanos(), MAX_REST.toNanos());
		double jitter = Math.min(MAX_REST_JITTER * nanos, MAX_REST_JITTER_NANOS) * this.random.nextDouble();
		ServerRest rest = new ServerRest(server.startedMillis(), now + nanos + (long) jitter);
		ServerRest known = this.rests.get(server.server());
		boolean superseded = known != null && (known.startedMillis() > rest.startedMillis()
				|| (known.startedMillis() == rest.startedMillis() && known.resumesAt() >= rest.resumesAt()));
		if (superseded) {
			return Optional.empty();
		}
		this.rests.put(server.server(), rest);
		return Optional.of(rest);
	}

	Optional<ServerRest> findRest(ServerAnnouncement server) {
		return Optional.ofNullable(this.rests.get(server.server()))
			.filter((rest) -> rest.startedMillis() == server.startedMillis());
	}

}
