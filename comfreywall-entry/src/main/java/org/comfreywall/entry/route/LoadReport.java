package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * The load of a backend server as it was some time ago.
 *
 * @param server the backend server
 * @param incarnation the server's life
 * @param sequence the report's number, rising within one life
 * @param measuredAt when it was measured, in nanoseconds of the entry's clock: the time
 * of arrival less the age that the report carries
 * @param running the requests that run
 * @param queued the requests that wait to run
 * @param queuedTokens the prompt tokens still to be computed, by priority class
 * @param stepNanos the mean time of a recent step in nanoseconds; for a group, of its
 * slowest rank
 * @param prefillTokensPerSecond the prompt tokens computed a second while some were
 * waiting; 0 if unknown
 * @param finishedPerSecond the requests finished a second; 0 if unknown
 */
public record LoadReport(BackendServerId server, Incarnation incarnation, long sequence, long measuredAt, int running,
		int queued, QueuedTokens queuedTokens, long stepNanos, double prefillTokensPerSecond,
		double finishedPerSecond) {

	public LoadReport {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(queuedTokens, "queuedTokens");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
		Preconditions.check(running >= 0, "running must not be negative: %d", running);
		Preconditions.check(queued >= 0, "queued must not be negative: %d", queued);
		Preconditions.check(stepNanos >= 0, "stepNanos must not be negative: %d", stepNanos);
		Preconditions.check(prefillTokensPerSecond >= 0, "prefillTokensPerSecond must not be negative: %s",
				prefillTokensPerSecond);
		Preconditions.check(finishedPerSecond >= 0, "finishedPerSecond must not be negative: %s", finishedPerSecond);
	}

}
