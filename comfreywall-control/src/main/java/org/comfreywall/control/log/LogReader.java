package org.comfreywall.control.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.BatchRecord;

/**
 * Rebuilds the log from the batches on disk, read in the order in which they were
 * written.
 */
public final class LogReader {

	private final List<LogEntry> entries = new ArrayList<>();

	private HardState hardState = HardState.INITIAL;

	private LogPosition base = LogPosition.ORIGIN;

	LogReader read(BatchRecord batch) {
		if (batch.hasVote()) {
			this.hardState = LogCodec.fromRecord(batch.getVote());
		}
		if (batch.hasBase()) {
			this.base = RecordCodec.fromRecord(batch.getBase());
			this.entries.clear();
		}
		batch.getEntriesList().stream().map(RecordCodec::fromRecord).forEach(this::add);
		return this;
	}

	private void add(LogEntry entry) {
		long offset = entry.index() - this.base.index() - 1;
		Preconditions.check(offset >= 0 && offset <= this.entries.size(), "entry %d leaves a gap after %d",
				entry.index(), this.base.index() + this.entries.size());
		this.entries.subList((int) offset, this.entries.size()).clear();
		this.entries.add(entry);
	}

	/**
	 * Combines the batches read with the newest snapshot.
	 * @param snapshot the newest snapshot, if there is one
	 * @return the state from which the instance starts
	 * @throws IllegalArgumentException if the log starts after the snapshot
	 */
	public DurableState toDurableState(Optional<Snapshot> snapshot) {
		LogPosition covered = snapshot.map(Snapshot::position).orElse(LogPosition.ORIGIN);
		Preconditions.check(this.base.index() <= covered.index(),
				"the log starts after index %d but the newest snapshot ends at %d", this.base.index(), covered.index());
		if (contains(covered)) {
			return new DurableState(this.hardState, snapshot, this.base, this.entries);
		}
		return new DurableState(this.hardState, snapshot, covered, List.of());
	}

	private boolean contains(LogPosition position) {
		if (position.equals(this.base)) {
			return true;
		}
		long offset = position.index() - this.base.index() - 1;
		return offset >= 0 && offset < this.entries.size()
				&& this.entries.get((int) offset).position().equals(position);
	}

}
