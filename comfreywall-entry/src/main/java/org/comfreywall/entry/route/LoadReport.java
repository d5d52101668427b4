package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * The load of a backend server at the time when it was measured.
 *
 * @param server the backend server
 * @param incarnation the server's incarnation
 * @param sequence the report's number, increasing within one incarnation
 * @param measuredAt when the load was measured, in nanoseconds on the entry's clock: the
 * time of receipt minus the age that the report carries
 * @param running the number of running requests
 * @param queued the number of queued requests
 * @param queuedTokens the prompt tokens still to be computed, by priority class
 * @param stepNanos the mean duration of recent steps in nanoseconds; for a group, on its
 * slowest rank
 * @param prefillTokensPerSecond the prompt tokens computed per second, measured while
 * some were queued; 0 if unknown
 * @param finishedPerSecond the requests finished per second; 0 if unknown
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
