package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.ProposeRequest;
import org.comfreywall.transport.generated.QueryRequest;
import org.comfreywall.transport.rpc.RpcClient;

/**
 * Proposes commands to and reads from the ledgers at the leader, which is this process or
 * another one.
 *
 * @param local the local replica, if it is the leader
 * @param remote the connection to the leader, if that is another process
 */
record LeaderClient(Optional<ControlNode> local, Optional<RpcClient> remote) {

	/** Callers of this process try another one after a second. */
	private static final Duration TIMEOUT = Duration.ofMillis(900);

	/**
	 * Proposes a command.
	 * @param command the command
	 * @return the ledger's answer once the command is stored by a majority of the voters;
	 * an error if the outcome is unknown
	 */
	CompletableFuture<Result<Bytes>> propose(LedgerCommand command) {
		Bytes encoded = command.encode();
		if (this.local.isPresent()) {
			return this.local.get().propose(encoded);
		}
		return this.remote
			.map((client) -> client
				.call(ControlMethods.PROPOSE,
						ProposeRequest.newBuilder().setCommand(ByteString.copyFrom(encoded.toArray())).build(), TIMEOUT)
				.thenApply((reply) -> reply.map((found) -> Bytes.of(found.getAnswer().toByteArray()))))
			.orElseGet(LeaderClient::unknownLeader);
	}

	/**
	 * Reads with a linearizable read: it includes every command that was acknowledged
	 * before the call.
	 * @param query the query
	 * @return the ledger's answer, or an error if the leader did not confirm the read
	 */
	CompletableFuture<Result<Bytes>> read(LedgerCommand query) {
		Bytes encoded = query.encode();
		if (this.local.isPresent()) {
			return this.local.get()
				.read((machine) -> machine.query(encoded))
				.thenApply((result) -> result.flatMap((answer) -> answer));
		}
		return this.remote
			.map((client) -> client
				.call(ControlMethods.QUERY,
						QueryRequest.newBuilder().setQuery(ByteString.copyFrom(encoded.toArray())).build(), TIMEOUT)
				.thenApply((reply) -> reply.map((found) -> Bytes.of(found.getAnswer().toByteArray()))))
			.orElseGet(LeaderClient::unknownLeader);
	}

	private static CompletableFuture<Result<Bytes>> unknownLeader() {
		return CompletableFuture.completedFuture(Result.failure(OperationError.local(ErrorCode.UNAVAILABLE,
				Step.REPLICATE, "the leader of the replicated log is not known")));
	}

}
