package org.comfreywall.group.life;

/**
 * Health of the member that runs a rank.
 */
public enum RankHealth {

	/** It sends heartbeats and does not block the other ranks. */
	HEALTHY,
	/**
	 * Its heartbeats are delayed or lost, but it runs: the group makes progress or a
	 * probe was answered.
	 */
	LATE,
	/** Its heartbeats are missing and the group makes no progress; a probe is pending. */
	SUSPECTED,
	/** It runs, but does not finish the step that the other ranks wait for. */
	STALLED,
	/** It exited or restarted, its probes failed, or it was stalled for too long. */
	FAILED

}
