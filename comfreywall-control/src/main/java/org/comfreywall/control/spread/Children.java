package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.comfreywall.common.id.InstanceId;

/**
 * The children of a node and their reports about their descendants.
 * <p>
 * A descendant is present as long as at least one child reports it. At most
 * {@link SpreadSettings#maxChildren()} children and {@value #MAX_DESCENDANTS} descendants
 * are tracked.
 */
final class Children {

	/** The maximum number of descendants that are tracked. */
	static final int MAX_DESCENDANTS = 16_384;

	private final int limit;

	private final Consumer<MemberReport> listener;

	private final Map<InstanceId, Child> children = new LinkedHashMap<>();

	private final Map<InstanceId, Map<InstanceId, MemberReport>> reportsByNode = new HashMap<>();

	private boolean coverageChanged;

	Children(int limit, Consumer<MemberReport> listener) {
		this.limit = limit;
		this.listener = listener;
	}

	boolean isFull() {
		return this.children.size() >= this.limit;
	}

	boolean coverageChanged() {
		return this.coverageChanged;
	}

	void clearCoverageChanged() {
		this.coverageChanged = false;
	}

	Collection<Child> all() {
		return this.children.values();
	}

	Optional<Child> find(InstanceId id) {
		return Optional.ofNullable(this.children.get(id));
	}

	/**
	 * Applies a heartbeat, adding its sender as a child if necessary.
	 * @param heartbeat the heartbeat
	 * @param now the current monotonic time in nanoseconds
	 * @return the child
	 */
	Child applyHeartbeat(Heartbeat heartbeat, long now) {
		Child child = this.children.computeIfAbsent(heartbeat.node().id(), (id) -> new Child(heartbeat.node()));
		this.coverageChanged |= !child.coverage().equals(heartbeat.coverage());
		child.recordHeartbeat(heartbeat, now);
		putReport(child, child.report());
		if (child.startsFullReport(heartbeat)) {
			List.copyOf(child.descendants().keySet()).forEach((id) -> removeReport(child, id));
			child.startFullReport(heartbeat.resetSequence());
		}
		if (child.hasNewReports(heartbeat)) {
			heartbeat.reports().forEach((report) -> applyReport(child, report));
			child.markReportsReceived(heartbeat.reportSequence());
		}
		return child;
	}

	/**
	 * Removes a child and all its reports.
	 * @param id the child
	 */
	void remove(InstanceId id) {
		Child child = this.children.remove(id);
		if (child != null) {
			List.copyOf(child.descendants().keySet()).forEach((below) -> removeReport(child, below));
			removeReport(child, id);
		}
	}

	/**
	 * Removes the children whose last heartbeat is too old.
	 * @param deadline the monotonic time in nanoseconds; children whose last heartbeat
	 * arrived earlier are removed
	 * @return the removed children
	 */
	List<InstanceId> expire(long deadline) {
		List<InstanceId> expired = this.children.values()
			.stream()
			.filter((child) -> child.lastHeartbeatAt() < deadline)
			.map((child) -> child.node().id())
			.toList();
		expired.forEach(this::remove);
		return expired;
	}

	List<MemberReport> presenceReports() {
		List<MemberReport> reports = new ArrayList<>(this.reportsByNode.size());
		this.reportsByNode.values().forEach((byChild) -> reports.add(newestReport(byChild.values())));
		return reports;
	}

	private void applyReport(Child child, MemberReport report) {
		if (report.presence() == Presence.ABSENT) {
			removeReport(child, report.node().id());
		}
		else if (!report.node().id().equals(child.node().id())) {
			child.descendants().put(report.node().id(), report);
			putReport(child, report);
		}
	}

	private void putReport(Child child, MemberReport report) {
		InstanceId id = report.node().id();
		if (this.reportsByNode.size() >= MAX_DESCENDANTS && !this.reportsByNode.containsKey(id)) {
			return;
		}
		Map<InstanceId, MemberReport> reports = this.reportsByNode.computeIfAbsent(id, (key) -> new HashMap<>(2));
		Optional<MemberReport> before = reports.isEmpty() ? Optional.empty()
				: Optional.of(newestReport(reports.values()));
		reports.put(child.node().id(), report);
		MemberReport after = newestReport(reports.values());
		if (before.isEmpty() || !before.get().equals(after)) {
			this.listener.accept(after);
		}
	}

	private void removeReport(Child child, InstanceId id) {
		child.descendants().remove(id);
		Map<InstanceId, MemberReport> reports = this.reportsByNode.get(id);
		MemberReport removed = (reports != null) ? reports.remove(child.node().id()) : null;
		if (removed != null && reports.isEmpty()) {
			this.reportsByNode.remove(id);
			this.listener.accept(new MemberReport(removed.node(), Presence.ABSENT));
		}
	}

	private static MemberReport newestReport(Collection<MemberReport> reports) {
		MemberReport newest = null;
		for (MemberReport report : reports) {
			if (newest == null || supersedes(report, newest)) {
				newest = report;
			}
		}
		return newest;
	}

	private static boolean supersedes(MemberReport report, MemberReport other) {
		int order = report.node().incarnation().compareTo(other.node().incarnation());
		return order > 0 || (order == 0 && report.presence() == Presence.LEAVING);
	}

}
