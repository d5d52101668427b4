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

	/** Slowdown from which a rank counts as slow; smaller ones are not broadcast. */
	private static final double MIN_SLOWDOWN = 1.15;

	/**
	 * Ranks report several times a second; without a report for this time a rank no
	 * longer counts as slow.
	 */
	private static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Map<HostPort, Entry> entries = new HashMap<>();

	void addReport(RankReport report, long now) {
		HostPort.parse(report.server()).ifPresent((address) -> {
			if (report.slowdown() >= MIN_SLOWDOWN) {
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
		this.entries.values().removeIf((entry) -> now - entry.reportedAt() > REPORT_VALIDITY_NANOS);
		Map<HostPort, Double> slow = new HashMap<>();
		this.entries.forEach((address, entry) -> slow.put(address, entry.slowdown()));
		return slow;
	}

	private record Entry(double slowdown, long reportedAt) {
	}

}
