package org.comfreywall.gateway.fleet;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.group.RankReport;
import org.comfreywall.gateway.pool.GroupState;
import org.comfreywall.transport.generated.FleetNews;

/**
 * Exchange of what the leader knows from the reports of ranks: the slow backend servers
 * in each update, and the groups in full updates and when they have changed, as they are
 * the same most of the time. Used on the event loop.
 */
final class RankNews {

	private final FleetListener listener;

	private final Consumer<Runnable> delay;

	private final Consumer<RankNews> broadcast;

	private final SlowRankTracker slowRanks = new SlowRankTracker();

	private final GroupMembershipTracker groups = new GroupMembershipTracker();

	private List<GroupState> sentGroups = List.of();

	private long latestTerm;

	private boolean scheduled;

	/**
	 * Creates an exchange without reports.
	 * @param listener receives what the leader knows, at the leader too
	 * @param delay runs a task after a few milliseconds, so that the reports of several
	 * ranks of a group go into one update
	 * @param broadcast sends an update with the news
	 */
	RankNews(FleetListener listener, Consumer<Runnable> delay, Consumer<RankNews> broadcast) {
		this.listener = Preconditions.notNull(listener, "listener");
		this.delay = Preconditions.notNull(delay, "delay");
		this.broadcast = Preconditions.notNull(broadcast, "broadcast");
	}

	/**
	 * Records a report that the leader has received. If a group has changed, an update is
	 * sent soon.
	 * @param service the service that the rank belongs to
	 * @param report the report
	 * @param now the current time in nanoseconds
	 */
	void addReport(String service, RankReport report, long now) {
		this.slowRanks.addReport(report, now);
		if (this.groups.addReport(service, report, now) && !this.scheduled) {
			this.scheduled = true;
			this.delay.accept(() -> {
				this.scheduled = false;
				this.broadcast.accept(this);
			});
		}
	}

	/**
	 * Adds the news to an update of the leader, and applies it here.
	 * @param update the update
	 * @param full whether the groups are included even if they have not changed
	 * @param now the current time in nanoseconds
	 */
	void addTo(FleetNews.Builder update, boolean full, long now) {
		this.latestTerm = Math.max(this.latestTerm, update.getTerm());
		Map<HostPort, Double> slow = this.slowRanks.slowServers(now);
		update.setLeads(true);
		slow.forEach((address, pace) -> update.addSlowServersBuilder().setAddress(address.toString()).setPace(pace));
		this.listener.onSlowServers(slow);
		List<GroupState> known = this.groups.groups(now);
		if (full || !known.equals(this.sentGroups)) {
			this.sentGroups = known;
			update.setHasGroups(true);
			known.forEach((group) -> update.addGroups(FleetCodec.encode(group)));
			this.listener.onGroups(known);
		}
	}

	/**
	 * Applies the update of another process, if it leads. A former leader may not know
	 * yet that another one was elected, and its groups are out of date then.
	 * @param update the update
	 */
	void apply(FleetNews update) {
		if (!update.getLeads()) {
			return;
		}
		this.listener.onSlowServers(FleetCodec.decodeSlowServers(update));
		if (update.getHasGroups() && update.getTerm() >= this.latestTerm) {
			this.latestTerm = update.getTerm();
			this.listener.onGroups(FleetCodec.decodeGroups(update));
		}
	}

}
