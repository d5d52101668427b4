package org.comfreywall.gateway.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.gateway.group.RankReport;

/**
 * Tracks which ranks are slow, from the reports that the leader receives.
 */
final class SlowRankTracker {

	/** Pace from which a rank counts as slow; smaller deviations are not broadcast. */
	private static final double SLOW = 1.15;

	/**
	 * Ranks report several times a second; without a report for this time a rank no
	 * longer counts as slow.
	 */
	private static final long VALID_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Map<HostPort, Entry> entries = new HashMap<>();

	void addReport(RankReport report, long now) {
		HostPort.parse(report.server()).ifPresent((address) -> {
			if (report.slowdown() >= SLOW) {
				this.entries.put(address, new Entry(report.slowdown(), now));
			}
			else {
				this.entries.remove(address);
			}
		});
	}

	/**
	 * Returns the slow ranks.
	 * @param now the current time in nanoseconds
	 * @return the factor by which each takes longer than usual, by the address of the
	 * backend server
	 */
	Map<HostPort, Double> slowServers(long now) {
		this.entries.values().removeIf((entry) -> now - entry.reportedAt() > VALID_NANOS);
		Map<HostPort, Double> slow = new HashMap<>();
		this.entries.forEach((address, entry) -> slow.put(address, entry.pace()));
		return slow;
	}

	private record Entry(double pace, long reportedAt) {
	}

}
