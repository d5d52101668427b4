package org.comfreywall.control.member;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.control.spread.EntryChange;

/**
 * Batches changed entries, so that many changes in a short time are published in few
 * messages. Urgent changes are published immediately, together with all pending ones.
 */
final class ChangeBatcher {

	private final long intervalNanos;

	private final Map<String, EntryChange> changes = new LinkedHashMap<>();

	private boolean urgent;

	private long publishedAt;

	ChangeBatcher(long intervalNanos) {
		this.intervalNanos = intervalNanos;
	}

	void add(EntryChange change) {
		this.changes.put(change.key(), change);
	}

	void addUrgent(EntryChange change) {
		add(change);
		this.urgent = true;
	}

	void clear() {
		this.changes.clear();
		this.urgent = false;
	}

	List<EntryChange> takeIfDue(long now) {
		boolean due = this.urgent || now - this.publishedAt >= this.intervalNanos;
		if (this.changes.isEmpty() || !due) {
			return List.of();
		}
		this.publishedAt = now;
		List<EntryChange> taken = List.copyOf(this.changes.values());
		clear();
		return taken;
	}

}
