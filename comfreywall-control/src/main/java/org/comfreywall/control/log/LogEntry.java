package org.comfreywall.control.log;

import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.state.LogTime;

/**
 * One entry of the replicated log.
 *
 * @param position the entry's position
 * @param time the log time assigned by the leader
 * @param content the entry's content
 */
public record LogEntry(LogPosition position, LogTime time, EntryContent content) {

	public LogEntry {
		Preconditions.notNull(position, "position");
		Preconditions.notNull(time, "time");
		Preconditions.notNull(content, "content");
	}

	/**
	 * Returns the entry's index.
	 * @return the index
	 */
	public long index() {
		return this.position.index();
	}

	int commandBytes() {
		return (this.content instanceof CommandContent command) ? command.command().length() : 0;
	}

}
