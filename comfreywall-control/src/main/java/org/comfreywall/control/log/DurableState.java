package org.comfreywall.control.log;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * The state that an instance recovers from its data folder.
 *
 * @param hardState the term and vote
 * @param snapshot the newest snapshot, if there is one
 * @param base the position before the first entry; not after the snapshot's position
 * @param entries the entries after the base, without gaps
 */
public record DurableState(HardState hardState, Optional<Snapshot> snapshot, LogPosition base, List<LogEntry> entries) {

	/** The state of an empty folder. */
	public static final DurableState EMPTY = new DurableState(HardState.INITIAL, Optional.empty(), LogPosition.ORIGIN,
			List.of());

	public DurableState {
		Preconditions.notNull(hardState, "hardState");
		Preconditions.notNull(snapshot, "snapshot");
		Preconditions.notNull(base, "base");
		entries = List.copyOf(entries);
	}

}
