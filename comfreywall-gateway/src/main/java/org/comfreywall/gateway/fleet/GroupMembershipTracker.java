package org.comfreywall.gateway.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.gateway.group.RankReport;
import org.comfreywall.gateway.pool.GroupState;

/**
 * Tracks which backend server belongs to which group of ranks, and whether the groups run
 * passes, from the reports that the leader receives.
 */
final class GroupMembershipTracker {

	/** A server without a report for this time is no longer listed. */
	private static final long REPORT_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(10);

	/**
	 * Ranks report several times a second; an older report tells nothing of whether the
	 * group runs passes.
	 */
	private static final long OPEN_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final Map<HostPort, Entry> entries = new HashMap<>();

	/**
	 * Records a report of a rank.
	 * @param service the service that the rank belongs to
	 * @param report the report
	 * @param now the current time in nanoseconds
	 * @return {@code true} if the rank's group, its epoch or its state differ from the
	 * report before
	 */
	boolean addReport(String service, RankReport report, long now) {
		Entry added = new Entry(service, report.group(), report.epoch(), report.open(), now);
		return !report.group().isBlank() && HostPort.parse(report.server())
			.filter((address) -> !added.isSame(this.entries.put(address, added)))
			.isPresent();
	}

	/**
	 * Returns the groups.
	 * @param now the current time in nanoseconds
	 * @return the groups by service and name; a group is open unless a rank of its latest
	 * epoch has reported otherwise of late
	 */
	List<GroupState> groups(long now) {
		this.entries.values().removeIf((entry) -> now - entry.reportedAt() > REPORT_VALIDITY_NANOS);
		Map<String, Map<String, Set<HostPort>>> servers = new TreeMap<>();
		this.entries.forEach((address, entry) -> servers.computeIfAbsent(entry.service(), (service) -> new TreeMap<>())
			.computeIfAbsent(entry.group(), (group) -> new HashSet<>())
			.add(address));
		List<GroupState> groups = new ArrayList<>();
		servers.forEach((service, byGroup) -> byGroup
			.forEach((group, addresses) -> groups.add(state(service, group, addresses, now))));
		return groups;
	}

	private GroupState state(String service, String group, Set<HostPort> addresses, long now) {
		List<Entry> ranks = addresses.stream().map(this.entries::get).toList();
		long epoch = ranks.stream().mapToLong(Entry::epoch).max().orElseThrow();
		boolean open = ranks.stream()
			.filter((rank) -> rank.epoch() == epoch && now - rank.reportedAt() <= OPEN_VALIDITY_NANOS)
			.allMatch(Entry::open);
		return new GroupState(service, group, epoch, open, addresses);
	}

	private record Entry(String service, String group, long epoch, boolean open, long reportedAt) {

		private boolean isSame(Entry other) {
			return other != null && this.service.equals(other.service) && this.group.equals(other.group)
					&& this.epoch == other.epoch && this.open == other.open;
		}

	}

}
