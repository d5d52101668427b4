package org.comfreywall.daemon.admin;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.control.ControlClient;

/**
 * Calls to the replicated state machine.
 *
 * @param propose proposes an encoded command and completes with its answer or an error
 * @param query evaluates an encoded query and completes with its answer or an error
 */
record LedgerCalls(Function<Bytes, CompletableFuture<Result<Bytes>>> propose,
		Function<Bytes, CompletableFuture<Result<Bytes>>> query) {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	LedgerCalls {
		Preconditions.notNull(propose, "propose");
		Preconditions.notNull(query, "query");
	}

	static LedgerCalls through(ControlClient control) {
		Preconditions.notNull(control, "control");
		return new LedgerCalls((command) -> control.propose(command, TIMEOUT),
				(query) -> control.query(query, TIMEOUT));
	}

}
