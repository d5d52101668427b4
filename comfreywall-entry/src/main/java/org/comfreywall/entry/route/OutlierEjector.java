package org.comfreywall.entry.route;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Outlier ejection: stops using a backend server for some time after consecutive
 * failures, for at most a given share of the servers at one time.
 */
final class OutlierEjector {

	private static final int MAX_DOUBLINGS = 20;

	private final EjectionSettings settings;

	OutlierEjector(EjectionSettings settings) {
		this.settings = settings;
	}

	/**
	 * Records a failure of a server and ejects it if it has failed too often.
	 * @param server the server that failed
	 * @param subset the servers in use, with or without the failed one
	 * @param now the present time in nanoseconds
	 * @return the duration of the ejection, or empty if the server is not ejected
	 */
	Optional<Duration> recordFailure(ServerState server, Collection<ServerState> subset, long now) {
		if (server.recordFailure() < this.settings.consecutiveFailures() || server.isEjected(now)
				|| !mayEject(server, subset, now)) {
			return Optional.empty();
		}
		Duration duration = ejectionDuration(server.ejectionsSinceSuccess());
		server.eject(now + duration.toNanos());
		return Optional.of(duration);
	}

	/**
	 * Ends ejections, those that expire first, until the ejected share is within its
	 * maximum.
	 * @param subset the servers in use
	 * @param now the present time in nanoseconds
	 */
	void enforceMaxShare(Collection<ServerState> subset, long now) {
		List<ServerState> ejected = ejectedServers(subset, now);
		int excess = ejected.size() - maxEjected(subset);
		ejected.stream()
			.sorted(Comparator.comparingLong(ServerState::ejectedUntil))
			.limit(Math.max(0, excess))
			.forEach((server) -> server.endEjection(now));
	}

	boolean isWithinMaxShare(Collection<ServerState> subset, long now) {
		return countEjected(subset, now) <= maxEjected(subset);
	}

	private boolean mayEject(ServerState server, Collection<ServerState> subset, long now) {
		return subset.contains(server) && !server.isLeaving()
				&& ejectedServers(subset, now).size() + 1 <= maxEjected(subset);
	}

	private int maxEjected(Collection<ServerState> subset) {
		int active = 0;
		for (ServerState server : subset) {
			active += server.isLeaving() ? 0 : 1;
		}
		return (int) Math.floor(this.settings.maxEjectedShare() * active);
	}

	private static int countEjected(Collection<ServerState> subset, long now) {
		int count = 0;
		for (ServerState server : subset) {
			count += (!server.isLeaving() && server.isEjected(now)) ? 1 : 0;
		}
		return count;
	}

	private static List<ServerState> ejectedServers(Collection<ServerState> subset, long now) {
		return subset.stream().filter((server) -> !server.isLeaving() && server.isEjected(now)).toList();
	}

	private Duration ejectionDuration(int ejections) {
		Duration doubled = this.settings.baseDuration().multipliedBy(1L << Math.min(ejections, MAX_DOUBLINGS));
		return (doubled.compareTo(this.settings.maxDuration()) < 0) ? doubled : this.settings.maxDuration();
	}

}
