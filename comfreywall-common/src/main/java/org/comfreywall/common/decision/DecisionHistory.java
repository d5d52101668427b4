package org.comfreywall.common.decision;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * Bounded in-memory history of the most recent decision records.
 */
public final class DecisionHistory implements DecisionListener {

	private final int capacity;

	private final Deque<DecisionRecord> records = new ArrayDeque<>();

	/**
	 * Creates an empty history.
	 * @param capacity the maximum number of records, at least 1
	 */
	public DecisionHistory(int capacity) {
		Preconditions.check(capacity >= 1, "capacity must be at least 1: %d", capacity);
		this.capacity = capacity;
	}

	@Override
	public synchronized void onDecision(DecisionRecord record) {
		Preconditions.notNull(record, "record");
		if (this.records.size() == this.capacity) {
			this.records.removeFirst();
		}
		this.records.addLast(record);
	}

	/**
	 * Returns the records about one subject.
	 * @param subject the subject, such as a request id
	 * @return the records, oldest first
	 */
	public synchronized List<DecisionRecord> findBySubject(String subject) {
		return this.records.stream().filter((record) -> record.subject().equals(subject)).toList();
	}

	/**
	 * Returns all retained records.
	 * @return the records, oldest first
	 */
	public synchronized List<DecisionRecord> all() {
		return List.copyOf(this.records);
	}

}
