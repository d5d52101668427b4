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

	private static boolean sleepUntilNextPoll(long deadline) {
		try {
			long nanos = Math.min(POLL_INTERVAL_NANOS, Math.max(1, deadline - System.nanoTime()));
			Thread.sleep(Duration.ofNanos(nanos).toMillis() + 1);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
