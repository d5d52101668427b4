package org.comfreywall.control.log;

import java.time.Duration;

import org.comfreywall.common.id.InstanceId;

/**
 * A pending handover of leadership.
 *
 * @param target the voter that is to lead
 * @param since the clock reading at the request
 * @param timeout how long the target may take to hold the whole log
 */
record LeaderTransfer(InstanceId target, long since, Duration timeout) {

	boolean expired(long now) {
		return now - this.since >= this.timeout.toNanos();
	}

}
