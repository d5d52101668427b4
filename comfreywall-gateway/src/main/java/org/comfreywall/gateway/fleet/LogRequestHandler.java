package org.comfreywall.gateway.fleet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.ProposeReply;
import org.comfreywall.transport.generated.ProposeRequest;
import org.comfreywall.transport.generated.QueryReply;
import org.comfreywall.transport.generated.QueryRequest;
import org.comfreywall.transport.rpc.RpcServer;

/**
 * Handles the proposals and queries that other processes send to this one as the leader.
 */
final class LogRequestHandler {

	private final Supplier<Optional<ControlNode>> node;

	LogRequestHandler(Supplier<Optional<ControlNode>> node) {
		this.node = node;
	}

	void register(RpcServer server) {
		server.register(ControlMethods.PROPOSE, (caller, request) -> propose(request));
		server.register(ControlMethods.QUERY, (caller, request) -> query(request));
	}

	private CompletionStage<Result<ProposeReply>> propose(ProposeRequest request) {
		Bytes command = Bytes.of(request.getCommand().toByteArray());
		return this.node.get()
			.map((running) -> running.propose(command)
				.thenApply((result) -> result.map((
						answer) -> ProposeReply.newBuilder().setAnswer(ByteString.copyFrom(answer.toArray())).build())))
			.orElseGet(LogRequestHandler::noReplica);
	}

	private CompletionStage<Result<QueryReply>> query(QueryRequest request) {
		Bytes query = Bytes.of(request.getQuery().toByteArray());
		return this.node.get()
			.map((running) -> running.read((machine) -> machine.query(query))
				.thenApply((result) -> result.flatMap((answer) -> answer)
					.map((answer) -> QueryReply.newBuilder().setAnswer(ByteString.copyFrom(answer.toArray())).build())))
			.orElseGet(LogRequestHandler::noReplica);
	}

	private static <T> CompletableFuture<Result<T>> noReplica() {
		return CompletableFuture.completedFuture(Result.failure(OperationError.local(ErrorCode.UNAVAILABLE,
				Step.REPLICATE, "this process has no replica of the replicated log")));
	}

}
