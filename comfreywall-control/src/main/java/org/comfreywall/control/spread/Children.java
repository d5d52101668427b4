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
 * Tracks the children of a node and their reports about descendants.
 * <p>
 * A descendant that moves to another parent can be reported by two children at the same
 * time. It is reported as absent only when no child reports it any longer. At most
 * {@value #MAX_DESCENDANTS} nodes are tracked.
 */
final class Children {

	/** The maximum number of tracked nodes, children included. */
	static final int MAX_DESCENDANTS = 16_384;

	private final int maxChildren;

	private final Consumer<MemberReport> listener;

	private final Map<InstanceId, Child> children = new LinkedHashMap<>();

	private final Map<InstanceId, Map<InstanceId, MemberReport>> reportsByNode = new HashMap<>();

	private boolean coverageChanged;

	Children(int maxChildren, Consumer<MemberReport> listener) {
		this.maxChildren = maxChildren;
		this.listener = listener;
	}

	boolean isFull() {
		return this.children.size() >= this.maxChildren;
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
	 * Applies a child's heartbeat, and adds the sender as a child if it is not one yet.
	 * @param heartbeat the heartbeat
	 * @param now the current monotonic time in nanoseconds
	 * @return the child
	 */
	Child applyHeartbeat(ChildHeartbeat heartbeat, long now) {
		Child child = this.children.computeIfAbsent(heartbeat.node().id(), (id) -> new Child(heartbeat.node()));
		this.coverageChanged |= !child.coverage().equals(heartbeat.coverage());
		child.recordHeartbeat(heartbeat, now);
		putReport(child, child.presenceReport());
		if (child.startsFullReport(heartbeat)) {
			List.copyOf(child.descendants().keySet()).forEach((id) -> removeReport(child, id));
			child.startFullReport(heartbeat.fullReportSequence());
		}
		if (child.hasNewReports(heartbeat)) {
			heartbeat.reports().forEach((report) -> applyReport(child, report));
			child.markReportsReceived(heartbeat.lastReportSequence());
		}
		return child;
	}

	/**
	 * Removes a child and its reports. The child and descendants that no other child
	 * reports become absent.
	 * @param id the child
	 */
	void remove(InstanceId id) {
		Child child = this.children.remove(id);
		if (child != null) {
			List.copyOf(child.descendants().keySet()).forEach((descendant) -> removeReport(child, descendant));
			removeReport(child, id);
		}
	}

	/**
	 * Removes the children whose last heartbeat arrived before a deadline.
	 * @param deadline the deadline as a monotonic time in nanoseconds
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
		Optional<MemberReport> previous = reports.isEmpty() ? Optional.empty()
				: Optional.of(newestReport(reports.values()));
		reports.put(child.node().id(), report);
		MemberReport current = newestReport(reports.values());
		if (previous.isEmpty() || !previous.get().equals(current)) {
			this.listener.accept(current);
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
