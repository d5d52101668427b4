package org.comfreywall.cli.command;

import java.time.Duration;

import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.cli.admin.RevisionProgress;
import org.comfreywall.common.result.Result;

/**
 * Polls the progress of a revision until every live member has applied it or the timeout
 * elapses.
 */
final class ProgressWaiter {

	private static final long POLL_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	private final AdminClient client;

	private final Duration timeout;

	ProgressWaiter(AdminClient client, Duration timeout) {
		this.client = client;
		this.timeout = timeout;
	}

	/**
	 * Polls until the revision is complete, the timeout elapses or the thread is
	 * interrupted. A failed poll is repeated.
	 * @param revision the revision
	 * @return the result of the last poll; unless the revision is complete, an incomplete
	 * progress or the error of that poll
	 */
	Result<RevisionProgress> awaitCompletion(long revision) {
		long deadline = System.nanoTime() + this.timeout.toNanos();
		Result<RevisionProgress> progress = this.client.progress(revision);
		while (!isComplete(progress) && System.nanoTime() < deadline && sleepUntilNextPoll(deadline)) {
			progress = this.client.progress(revision);
		}
		return progress;
	}

	private static boolean isComplete(Result<RevisionProgress> progress) {
		return progress.value().filter(RevisionProgress::isComplete).isPresent();
	}

	/**
	 * Sleeps until the next poll is due or the deadline has passed.
	 * @param deadline the deadline as {@link System#nanoTime()}
	 * @return {@code false} if the thread was interrupted
	 */
	private static boolean sleepUntilNextPoll(long deadline) {
		try {
			long nanos = Math.min(POLL_INTERVAL_NANOS, Math.max(1, deadline - System.nanoTime()));
			// toMillis() rounds down; the extra millisecond keeps the last poll from
			// taking place before the deadline.
			Thread.sleep(Duration.ofNanos(nanos).toMillis() + 1);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
