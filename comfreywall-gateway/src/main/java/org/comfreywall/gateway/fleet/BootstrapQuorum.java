package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Chooses the initial voters of the replicated log once, at the process that coordinates
 * the bootstrap.
 * <p>
 * The choice is made when enough processes have registered and no further one has done so
 * for a while. It never changes afterwards, so that the log is bootstrapped only once. A
 * coordinator that has restarted chooses no voters, as the first start is over.
 */
final class BootstrapQuorum {

	/**
	 * Time without a further candidate after which the voters are chosen; the longest
	 * expected gap between the starts of two processes.
	 */
	private static final Duration QUIET_PERIOD = Duration.ofMillis(700);

	/**
	 * Time after the first registration from which fewer voters than the target are
	 * chosen. Their number is odd in any case.
	 */
	private static final Duration TIMEOUT = Duration.ofSeconds(6);

	private final int targetVoters;

	private final Map<String, FleetPeer> candidates = new LinkedHashMap<>();

	private long firstRegistered;

	private long lastRegistered;

	private List<String> initialVoters = List.of();

	BootstrapQuorum(int targetVoters) {
		this.targetVoters = targetVoters;
	}

	/**
	 * Registers a candidate and returns the initial voters.
	 * @param peer the candidate
	 * @param now the current time in nanoseconds
	 * @return the instances of the initial voters; empty until they are chosen
	 */
	List<String> register(FleetPeer peer, long now) {
		if (!this.initialVoters.isEmpty()) {
			return this.initialVoters;
		}
		if (this.candidates.isEmpty()) {
			this.firstRegistered = now;
		}
		if (this.candidates.put(peer.instance(), peer) == null) {
			this.lastRegistered = now;
		}
		boolean quiet = now - this.lastRegistered > QUIET_PERIOD.toNanos();
		boolean timedOut = now - this.firstRegistered > TIMEOUT.toNanos();
		if (quiet && (this.candidates.size() >= this.targetVoters || timedOut)) {
			int count = Math.min(this.targetVoters, (this.candidates.size() - 1) / 2 * 2 + 1);
			this.initialVoters = acrossDomains().subList(0, count);
		}
		return this.initialVoters;
	}

	// Orders the candidates round-robin over the failure domains.
	private List<String> acrossDomains() {
		Map<String, List<String>> byDomain = new TreeMap<>();
		this.candidates.values()
			.stream()
			.sorted(Comparator.comparing(FleetPeer::instance))
			.forEach((peer) -> byDomain.computeIfAbsent(peer.domain(), (domain) -> new ArrayList<>())
				.add(peer.instance()));
		List<String> ordered = new ArrayList<>();
		for (int turn = 0; ordered.size() < this.candidates.size(); turn++) {
			for (List<String> domain : byDomain.values()) {
				if (turn < domain.size()) {
					ordered.add(domain.get(turn));
				}
			}
		}
		return ordered;
	}

}
