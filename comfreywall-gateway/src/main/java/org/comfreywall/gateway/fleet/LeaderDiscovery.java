package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Leader discovery by querying one process after the other.
 * <p>
 * Processes that have not yet detected the failure of a leader still redirect to it.
 * Redirects to a process that has timed out are therefore ignored for a while, and the
 * process that sent the redirect is queried again until it knows the new leader.
 */
final class LeaderDiscovery {

	/**
	 * Time for which redirects to a process that has timed out are ignored. A new leader
	 * is elected within this time after the failure of the old one.
	 */
	private static final Duration AVOIDANCE_PERIOD = Duration.ofMillis(1500);

	/**
	 * Consecutive timeouts after which a process is avoided. One reply may be lost with
	 * its connection; the retry over a new connection shows whether the process is alive.
	 */
	private static final int TIMEOUTS_TO_AVOID = 2;

	private final Map<HostPort, Long> timedOutAt = new HashMap<>();

	private List<HostPort> candidates;

	private HostPort current;

	private int timeouts;

	/**
	 * Starts with the first candidate.
	 * @param candidates the addresses of processes that may know the leader
	 */
	LeaderDiscovery(List<HostPort> candidates) {
		Preconditions.check(!candidates.isEmpty(), "candidates must not be empty");
		this.candidates = List.copyOf(candidates);
		this.current = this.candidates.get(0);
	}

	/**
	 * Returns the process to query next.
	 * @return its address
	 */
	HostPort current() {
		return this.current;
	}

	/**
	 * Adds candidates in front of the existing ones.
	 * @param seeds the addresses of processes that may know the leader
	 */
	void addSeeds(List<HostPort> seeds) {
		List<HostPort> all = new ArrayList<>(seeds);
		this.candidates.stream().filter((known) -> !all.contains(known)).forEach(all::add);
		this.candidates = all;
	}

	/**
	 * Handles a reply of the current process.
	 * @param leader the leader that it redirects to, or empty if it knows none
	 * @param members the processes that it knows, which become the candidates
	 * @param now the current time in nanoseconds
	 */
	void handleReply(Optional<HostPort> leader, List<HostPort> members, long now) {
		if (!members.isEmpty()) {
			this.candidates = List.copyOf(members);
		}
		this.timeouts = 0;
		this.timedOutAt.remove(this.current);
		leader.filter((address) -> !isAvoided(address, now)).ifPresent((address) -> this.current = address);
	}

	/**
	 * Handles a timeout of the current process. After the second one in a row, selects
	 * the next candidate.
	 * @param now the current time in nanoseconds
	 */
	void handleTimeout(long now) {
		this.timeouts++;
		if (this.timeouts < TIMEOUTS_TO_AVOID) {
			return;
		}
		this.timeouts = 0;
		this.timedOutAt.put(this.current, now);
		int from = this.candidates.indexOf(this.current) + 1;
		for (int i = 0; i < this.candidates.size(); i++) {
			HostPort next = this.candidates.get((from + i) % this.candidates.size());
			if (!isAvoided(next, now)) {
				this.current = next;
				return;
			}
		}
		this.current = this.candidates.get(from % this.candidates.size());
	}

	private boolean isAvoided(HostPort address, long now) {
		Long since = this.timedOutAt.get(address);
		return since != null && now - since < AVOIDANCE_PERIOD.toNanos();
	}

}
