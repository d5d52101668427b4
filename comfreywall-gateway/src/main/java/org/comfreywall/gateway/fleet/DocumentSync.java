package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.DocumentLedger;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.VersionedDocument;
import org.comfreywall.transport.generated.DocumentReply;
import org.comfreywall.transport.generated.DocumentRequest;
import org.comfreywall.transport.generated.FleetNews;
import org.comfreywall.transport.rpc.RpcClient;

/**
 * Keeps the newest document of the replicated log that this process has received.
 * <p>
 * Updates of the fleet carry only its version; a process that misses that version fetches
 * the content from the sender. Confined to the event loop.
 */
final class DocumentSync {

	private static final EventLog LOG = EventLog.of(DocumentSync.class);

	private static final Duration FETCH_TIMEOUT = Duration.ofMillis(500);

	private final Executor loop;

	private final Supplier<LeaderClient> leader;

	private final Consumer<VersionedDocument> listener;

	private VersionedDocument document = VersionedDocument.NONE;

	/**
	 * Creates a synchronisation without a document.
	 * @param loop the event loop
	 * @param leader returns the client of the current leader
	 * @param listener receives each newer document
	 */
	DocumentSync(Executor loop, Supplier<LeaderClient> leader, Consumer<VersionedDocument> listener) {
		this.loop = loop;
		this.leader = leader;
		this.listener = listener;
	}

	VersionedDocument document() {
		return this.document;
	}

	CompletableFuture<Boolean> propose(VersionedDocument proposed) {
		return this.leader.get()
			.propose(new LedgerCommand(DocumentLedger.NAME, proposed.encode()))
			.thenApplyAsync((answer) -> {
				boolean accepted = answer.value().isPresent();
				if (accepted && this.document.version() < proposed.version()) {
					readNewest();
				}
				return accepted;
			}, this.loop);
	}

	CompletableFuture<Optional<VersionedDocument>> readNewest() {
		return this.leader.get().read(new LedgerCommand(DocumentLedger.NAME, Bytes.EMPTY)).thenApplyAsync((answer) -> {
			Optional<VersionedDocument> newest = answer.value().flatMap(VersionedDocument::decode);
			newest.ifPresent(this::update);
			return newest;
		}, this.loop);
	}

	/**
	 * Applies a document if it is newer.
	 * @param newer the document
	 */
	void update(VersionedDocument newer) {
		if (newer.version() > this.document.version()) {
			this.document = newer;
			LOG.info("document-learnt", Field.of("version", newer.version()));
			this.listener.accept(newer);
		}
	}

	/**
	 * Fetches the document from the sender of an update if the sender has a newer one.
	 * @param update the update
	 * @param sender returns the connection to the sender
	 */
	void applyUpdate(FleetNews update, Supplier<RpcClient> sender) {
		if (update.getDocumentVersion() > this.document.version()) {
			DocumentRequest request = DocumentRequest.newBuilder().setKnownVersion(this.document.version()).build();
			sender.get()
				.call(FleetMethods.DOCUMENT, request, FETCH_TIMEOUT)
				.thenAcceptAsync((reply) -> reply.value()
					.filter((found) -> !found.getContent().isEmpty())
					.ifPresent((found) -> update(
							new VersionedDocument(found.getVersion(), Bytes.of(found.getContent().toByteArray())))),
						this.loop);
		}
	}

	Result<DocumentReply> handleRequest(DocumentRequest request) {
		DocumentReply.Builder reply = DocumentReply.newBuilder().setVersion(this.document.version());
		if (this.document.version() > request.getKnownVersion()) {
			reply.setContent(ByteString.copyFrom(this.document.content().toArray()));
		}
		return Result.success(reply.build());
	}

}
