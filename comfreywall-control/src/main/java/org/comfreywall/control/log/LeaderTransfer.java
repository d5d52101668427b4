package org.comfreywall.control.log;

import java.time.Duration;

import org.comfreywall.common.id.InstanceId;

/**
 * A pending transfer of leadership.
 *
 * @param target the voter that is to become the leader
 * @param since the monotonic clock reading at the request, in nanoseconds
 * @param timeout the time within which the target must have the whole log
 */
record LeaderTransfer(InstanceId target, long since, Duration timeout) {

	boolean expired(long now) {
		return now - this.since >= this.timeout.toNanos();
	}

}
