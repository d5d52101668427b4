package org.comfreywall.transport.rpc;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.Parser;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.PeerLink;
import org.comfreywall.transport.PeerLinkListener;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.WireErrors;
import org.comfreywall.transport.generated.Call;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Notice;
import org.comfreywall.transport.generated.Reply;

/**
 * Calls the methods of one peer and exchanges notices with it.
 * <p>
 * A call that fails without a reply may have been executed by the peer.
 */
public final class RpcClient implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(RpcClient.class);

	private static final int MAX_PENDING_CALLS = 10_000;

	private final AtomicLong lastCallId = new AtomicLong();

	private final Map<Long, CompletableFuture<Result<ByteString>>> pendingCalls = new ConcurrentHashMap<>();

	private final Map<String, NoticeHandler> noticeHandlers = new ConcurrentHashMap<>();

	private final CompletableFuture<Void> firstConnection = new CompletableFuture<>();

	private final PeerLink link;

	/**
	 * Creates a client and starts connecting.
	 * @param transport opens the connections
	 * @param address the peer's address
	 */
	public RpcClient(Transport transport, HostPort address) {
		this.link = new PeerLink(transport, address, new LinkEvents());
		this.link.open();
	}

	/**
	 * Returns the peer's identity.
	 * @return the identity, or empty while disconnected
	 */
	public Optional<PeerIdentity> peer() {
		return this.link.current().flatMap(PeerConnection::peer);
	}

	/**
	 * Returns the peer's address.
	 * @return the address
	 */
	public HostPort address() {
		return this.link.address();
	}

	/**
	 * Returns a future that completes when the first connection is established.
	 * @return the future
	 */
	public CompletableFuture<Void> firstConnection() {
		return this.firstConnection;
	}

	/**
	 * Registers the handler of a topic for notices that the peer sends.
	 * @param topic the topic
	 * @param handler receives its notices
	 */
	public void register(String topic, NoticeHandler handler) {
		this.noticeHandlers.put(Preconditions.notBlank(topic, "topic"), Preconditions.notNull(handler, "handler"));
	}

	/**
	 * Sends a notice, or drops it while disconnected.
	 * @param topic the topic
	 * @param payload the payload
	 */
	public void send(String topic, ByteString payload) {
		Preconditions.notBlank(topic, "topic");
		Preconditions.notNull(payload, "payload");
		Notice notice = Notice.newBuilder().setTopic(topic).setPayload(payload).build();
		this.link.current().ifPresent((connection) -> connection.send(Frame.newBuilder().setNotice(notice).build()));
	}

	/**
	 * Calls a method.
	 * @param <Q> the request's type
	 * @param <R> the reply's type
	 * @param method the method
	 * @param request the request
	 * @param timeout the longest time to wait for the reply
	 * @return completes with the reply or an error, never exceptionally;
	 * {@link ErrorCode#UNAVAILABLE} if the call was not sent
	 */
	public <Q extends Message, R extends Message> CompletableFuture<Result<R>> call(RpcMethod<Q, R> method, Q request,
			Duration timeout) {
		Preconditions.notNull(method, "method");
		Preconditions.notNull(request, "request");
		Preconditions.notNull(timeout, "timeout");
		Optional<PeerConnection> connection = this.link.current();
		if (connection.isEmpty() || this.pendingCalls.size() >= MAX_PENDING_CALLS) {
			return CompletableFuture
				.completedFuture(failure(ErrorCode.UNAVAILABLE, "not connected, or too many pending calls"));
		}
		long id = this.lastCallId.incrementAndGet();
		CompletableFuture<Result<ByteString>> reply = new CompletableFuture<>();
		this.pendingCalls.put(id, reply);
		Call call = Call.newBuilder().setId(id).setMethod(method.name()).setPayload(request.toByteString()).build();
		connection.get().send(Frame.newBuilder().setCall(call).build());
		return reply
			.completeOnTimeout(
					failure(ErrorCode.DEADLINE_EXCEEDED,
							"no reply to " + method.name() + " within " + timeout.toMillis() + " ms"),
					timeout.toNanos(), TimeUnit.NANOSECONDS)
			.whenComplete((result, ex) -> this.pendingCalls.remove(id))
			.thenApply((result) -> result.flatMap((payload) -> decode(method.replyParser(), payload)));
	}

	@Override
	public void close() {
		this.link.close();
		failPending("the client was closed");
	}

	private <R extends Message> Result<R> decode(Parser<R> parser, ByteString payload) {
		try {
			return Result.success(parser.parseFrom(payload));
		}
		catch (InvalidProtocolBufferException ex) {
			return failure(ErrorCode.MALFORMED, "cannot decode the reply");
		}
	}

	private <T> Result<T> failure(ErrorCode code, String message) {
		Optional<InstanceId> instance = peer().map(PeerIdentity::instance);
		return Result.failure(new OperationError(code, Step.SEND, instance, this.link.address() + ": " + message));
	}

	private void failPending(String message) {
		for (CompletableFuture<Result<ByteString>> reply : List.copyOf(this.pendingCalls.values())) {
			reply.complete(failure(ErrorCode.CONNECTION_LOST, message));
		}
	}

	private final class LinkEvents implements PeerLinkListener {

		@Override
		public void onUp(PeerConnection connection) {
			failPending("the connection was replaced before the reply arrived");
			RpcClient.this.firstConnection.complete(null);
		}

		@Override
		public void onFrame(PeerConnection connection, Frame frame) {
			switch (frame.getBodyCase()) {
				case REPLY -> completeCall(connection, frame.getReply());
				case NOTICE -> handleNotice(connection, frame.getNotice());
				default -> LOG.debug("frame-ignored", Field.of("frame", frame.getBodyCase()));
			}
		}

		@Override
		public void onDown(OperationError reason) {
			failPending(reason.message());
		}

		private void completeCall(PeerConnection connection, Reply reply) {
			CompletableFuture<Result<ByteString>> call = RpcClient.this.pendingCalls.get(reply.getId());
			if (call == null) {
				return;
			}
			InstanceId sender = connection.peer().orElseThrow().instance();
			call.complete(reply.hasError() ? Result.failure(WireErrors.decode(reply.getError(), sender))
					: Result.success(reply.getPayload()));
		}

		private void handleNotice(PeerConnection connection, Notice notice) {
			NoticeHandler handler = RpcClient.this.noticeHandlers.get(notice.getTopic());
			if (handler != null) {
				handler.onNotice(connection, notice.getPayload());
			}
		}

	}

}
