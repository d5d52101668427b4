package org.comfreywall.control.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.Term;
import org.comfreywall.control.state.LogTime;

/**
 * The entries of the replicated log that are kept in memory, with the membership in force
 * at each index.
 */
final class EntryLog {

	private final List<LogEntry> entries = new ArrayList<>();

	private final List<IndexedMembership> memberships = new ArrayList<>();

	private LogPosition base;

	private LogTime baseTime;

	EntryLog(DurableState state) {
		this.base = state.base();
		this.baseTime = state.snapshot().map(Snapshot::time).orElse(LogTime.ZERO);
		long snapshotIndex = state.snapshot().map((snapshot) -> snapshot.position().index()).orElse(0L);
		this.memberships.add(new IndexedMembership(snapshotIndex,
				state.snapshot().map(Snapshot::membership).orElse(Membership.EMPTY)));
		this.entries.addAll(state.entries());
		this.entries.stream().filter((entry) -> entry.index() > snapshotIndex).forEach(this::recordMembership);
	}

	LogPosition base() {
		return this.base;
	}

	long lastIndex() {
		return this.base.index() + this.entries.size();
	}

	LogPosition lastPosition() {
		return this.entries.isEmpty() ? this.base : this.entries.get(this.entries.size() - 1).position();
	}

	LogTime lastTime() {
		return this.entries.isEmpty() ? this.baseTime : this.entries.get(this.entries.size() - 1).time();
	}

	int size() {
		return this.entries.size();
	}

	Optional<Term> termAt(long index) {
		if (index == this.base.index()) {
			return Optional.of(this.base.term());
		}
		return entryAt(index).map((entry) -> entry.position().term());
	}

	boolean contains(LogPosition position) {
		return termAt(position.index()).filter(position.term()::equals).isPresent();
	}

	Optional<LogEntry> entryAt(long index) {
		if (index <= this.base.index() || index > lastIndex()) {
			return Optional.empty();
		}
		return Optional.of(this.entries.get(offset(index)));
	}

	LogTime timeAt(long index) {
		return entryAt(index).map(LogEntry::time).orElse(this.baseTime);
	}

	List<LogEntry> entriesFrom(long index) {
		return range(index, lastIndex());
	}

	List<LogEntry> range(long first, long last) {
		if (first > last) {
			return List.of();
		}
		return List.copyOf(this.entries.subList(offset(first), offset(last) + 1));
	}

	List<LogEntry> boundedRange(long first, int maxEntries, int maxBytes) {
		long last = first - 1;
		long bytes = 0;
		while (last < lastIndex() && last - first + 1 < maxEntries) {
			bytes += this.entries.get(offset(last + 1)).commandBytes();
			if (bytes > maxBytes && last >= first) {
				break;
			}
			last++;
		}
		return range(first, last);
	}

	void append(LogEntry entry) {
		this.entries.add(entry);
		recordMembership(entry);
	}

	void truncateFrom(long index) {
		this.entries.subList(offset(index), this.entries.size()).clear();
		this.memberships.removeIf((membership) -> membership.index() >= index);
	}

	// Returns the index of the first entry in memory with the term of the given entry.
	long firstIndexOfTerm(long index) {
		Optional<Term> term = termAt(index);
		long first = index;
		while (first - 1 > this.base.index() && termAt(first - 1).equals(term)) {
			first--;
		}
		return first;
	}

	Membership membership() {
		return this.memberships.get(this.memberships.size() - 1).membership();
	}

	long membershipIndex() {
		return this.memberships.get(this.memberships.size() - 1).index();
	}

	Membership membershipAt(long index) {
		Membership found = this.memberships.get(0).membership();
		for (IndexedMembership membership : this.memberships) {
			if (membership.index() <= index) {
				found = membership.membership();
			}
		}
		return found;
	}

	void compactTo(long index) {
		if (index <= this.base.index()) {
			return;
		}
		LogEntry last = this.entries.get(offset(index));
		this.entries.subList(0, offset(index) + 1).clear();
		this.base = last.position();
		this.baseTime = last.time();
		while (this.memberships.size() > 1 && this.memberships.get(1).index() <= index) {
			this.memberships.remove(0);
		}
	}

	void resetTo(Snapshot snapshot) {
		this.entries.clear();
		this.memberships.clear();
		this.base = snapshot.position();
		this.baseTime = snapshot.time();
		this.memberships.add(new IndexedMembership(this.base.index(), snapshot.membership()));
	}

	private void recordMembership(LogEntry entry) {
		if (entry.content() instanceof MembershipContent content) {
			this.memberships.add(new IndexedMembership(entry.index(), content.membership()));
		}
	}

	private int offset(long index) {
		return Math.toIntExact(index - this.base.index() - 1);
	}

	/** The membership in force from an index on. */
	private record IndexedMembership(long index, Membership membership) {

	}

}
