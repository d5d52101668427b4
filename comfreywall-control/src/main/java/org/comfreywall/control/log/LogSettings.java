package org.comfreywall.control.log;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the replicated log.
 *
 * @param heartbeatInterval the time between two heartbeats of the leader
 * @param electionTimeout the time without a message from the leader after which a voter
 * may vote for another candidate; an instance waits a random time between one and two
 * election timeouts before it starts an election
 * @param clockDriftPercent the maximum difference in speed between two instances' clocks,
 * in percent
 * @param maxAppendEntries the maximum number of entries in a message
 * @param maxAppendBytes the maximum size of the commands in a message in bytes; a larger
 * command is sent in a message of its own
 * @param maxInFlightEntries the maximum number of entries sent to a peer and not
 * acknowledged
 * @param maxCommandBytes the maximum size of a command in bytes
 * @param maxLogEntries the maximum number of entries kept in memory; further proposals
 * are refused
 * @param trailingEntries the number of entries included in a snapshot that compaction
 * still keeps, so that slow followers need no snapshot
 * @param snapshotChunkBytes the size of a chunk of a snapshot in bytes
 * @param maxPendingReads the maximum number of reads waiting for confirmation by a quorum
 */
public record LogSettings(Duration heartbeatInterval, Duration electionTimeout, int clockDriftPercent,
		int maxAppendEntries, int maxAppendBytes, int maxInFlightEntries, int maxCommandBytes, int maxLogEntries,
		int trailingEntries, int snapshotChunkBytes, int maxPendingReads) {

	/** The settings used unless an operator sets others. */
	public static final LogSettings DEFAULTS = new LogSettings(Duration.ofMillis(100), Duration.ofMillis(1000), 10,
			4096, 1 << 20, 16384, 4 << 20, 1_000_000, 10_000, 256 << 10, 10_000);

	public LogSettings {
		Preconditions.check(heartbeatInterval.toNanos() > 0, "heartbeatInterval must be positive: %s",
				heartbeatInterval);
		Preconditions.check(electionTimeout.compareTo(heartbeatInterval.multipliedBy(3)) >= 0,
				"electionTimeout must be at least three heartbeat intervals: %s", electionTimeout);
		Preconditions.check(clockDriftPercent >= 0 && clockDriftPercent < 50,
				"clockDriftPercent must be from 0 to 49: %d", clockDriftPercent);
		Preconditions.check(maxAppendEntries >= 1, "maxAppendEntries must be at least 1: %d", maxAppendEntries);
		Preconditions.check(maxAppendBytes >= 1, "maxAppendBytes must be at least 1: %d", maxAppendBytes);
		Preconditions.check(maxInFlightEntries >= 1, "maxInFlightEntries must be at least 1: %d", maxInFlightEntries);
		Preconditions.check(maxCommandBytes >= 1, "maxCommandBytes must be at least 1: %d", maxCommandBytes);
		Preconditions.check(trailingEntries >= 0, "trailingEntries must not be negative: %d", trailingEntries);
		Preconditions.check(maxLogEntries > trailingEntries, "maxLogEntries must be greater than trailingEntries: %d",
				maxLogEntries);
		Preconditions.check(snapshotChunkBytes >= 1, "snapshotChunkBytes must be at least 1: %d", snapshotChunkBytes);
		Preconditions.check(maxPendingReads >= 1, "maxPendingReads must be at least 1: %d", maxPendingReads);
	}

	/**
	 * Returns the duration of the leader lease, counted from the sending time of the
	 * newest message that a quorum replied to.
	 * @return the election timeout less the allowed clock drift
	 */
	public Duration leaseDuration() {
		return this.electionTimeout.multipliedBy(100 - this.clockDriftPercent).dividedBy(100);
	}

	/**
	 * Returns how long pre-vote replies count towards an election without the election
	 * timeout, which requires that all voters are fresh.
	 * @return two heartbeat intervals, because the first messages of a process are slow
	 */
	Duration preVoteRound() {
		return this.heartbeatInterval.multipliedBy(2);
	}

	/**
	 * Returns how long a voter must have been running before it reports being fresh.
	 * @return the duration of a pre-vote round plus a quarter, because clocks differ in
	 * speed
	 */
	Duration minFreshUptime() {
		return preVoteRound().multipliedBy(5).dividedBy(4);
	}

}
