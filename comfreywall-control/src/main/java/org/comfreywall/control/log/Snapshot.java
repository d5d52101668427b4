package org.comfreywall.control.log;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.state.LogTime;

/**
 * The state of the state machine after all entries up to a position.
 *
 * @param position the last entry included
 * @param time the log time of that entry
 * @param membership the members as of that entry
 * @param state the encoded state of the state machine
 */
public record Snapshot(LogPosition position, LogTime time, Membership membership, Bytes state) {

	public Snapshot {
		Preconditions.notNull(position, "position");
		Preconditions.notNull(time, "time");
		Preconditions.notNull(membership, "membership");
		Preconditions.notNull(state, "state");
	}

}
