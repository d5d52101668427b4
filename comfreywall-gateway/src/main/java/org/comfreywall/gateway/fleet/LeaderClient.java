package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.state.DocumentLedger;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.VersionedDocument;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.ProposeRequest;
import org.comfreywall.transport.generated.QueryRequest;
import org.comfreywall.transport.rpc.RpcClient;

/**
 * Proposes and reads documents at the leader, which is this process or another one.
 *
 * @param local the local replica, if it is the leader
 * @param remote the connection to the leader, if that is another process
 */
record LeaderClient(Optional<ControlNode> local, Optional<RpcClient> remote) {

	/** Callers of this process try another one after a second. */
	private static final Duration TIMEOUT = Duration.ofMillis(900);

	CompletableFuture<Boolean> propose(VersionedDocument document) {
		Bytes command = new LedgerCommand(DocumentLedger.NAME, document.encode()).encode();
		if (this.local.isPresent()) {
			return this.local.get().propose(command).thenApply((result) -> result.value().isPresent());
		}
		return this.remote
			.map((client) -> client
				.call(ControlMethods.PROPOSE,
						ProposeRequest.newBuilder().setCommand(ByteString.copyFrom(command.toArray())).build(), TIMEOUT)
				.thenApply((reply) -> reply.value().isPresent()))
			.orElseGet(() -> CompletableFuture.completedFuture(false));
	}

	CompletableFuture<Optional<VersionedDocument>> readNewest() {
		Bytes query = new LedgerCommand(DocumentLedger.NAME, Bytes.EMPTY).encode();
		if (this.local.isPresent()) {
			return this.local.get()
				.read((machine) -> machine.query(query))
				.thenApply((result) -> result.flatMap((answer) -> answer).value().flatMap(VersionedDocument::decode));
		}
		return this.remote
			.map((client) -> client
				.call(ControlMethods.QUERY,
						QueryRequest.newBuilder().setQuery(ByteString.copyFrom(query.toArray())).build(), TIMEOUT)
				.thenApply((reply) -> reply.value()
					.flatMap((found) -> VersionedDocument.decode(Bytes.of(found.getAnswer().toByteArray())))))
			.orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
	}

}
