package org.comfreywall.transport.rpc;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.PeerListener;
import org.comfreywall.transport.WireErrors;
import org.comfreywall.transport.generated.Call;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Notice;
import org.comfreywall.transport.generated.Reply;

/**
 * Dispatches the frames of accepted connections: calls by method, notices by topic and
 * all other frames to a listener.
 */
public final class RpcServer implements PeerListener {

	private static final EventLog LOG = EventLog.of(RpcServer.class);

	private final Map<String, Endpoint<?, ?>> endpoints = new ConcurrentHashMap<>();

	private final Map<String, NoticeHandler> noticeHandlers = new ConcurrentHashMap<>();

	private volatile PeerListener defaultListener = new RejectingListener();

	/**
	 * Registers the handler of a method.
	 * @param <Q> the request's type
	 * @param <R> the reply's type
	 * @param method the method
	 * @param handler handles its calls
	 */
	public <Q extends Message, R extends Message> void register(RpcMethod<Q, R> method, RpcHandler<Q, R> handler) {
		Preconditions.notNull(method, "method");
		Preconditions.notNull(handler, "handler");
		this.endpoints.put(method.name(), new Endpoint<>(method, handler));
	}

	/**
	 * Registers the handler of a topic.
	 * @param topic the topic
	 * @param handler receives its notices
	 */
	public void register(String topic, NoticeHandler handler) {
		this.noticeHandlers.put(Preconditions.notBlank(topic, "topic"), Preconditions.notNull(handler, "handler"));
	}

	/**
	 * Sets the listener for frames that are neither calls nor notices.
	 * @param listener the listener
	 */
	public void setDefaultListener(PeerListener listener) {
		this.defaultListener = Preconditions.notNull(listener, "listener");
	}

	@Override
	public void onOpen(PeerConnection connection) {
		this.defaultListener.onOpen(connection);
	}

	@Override
	public void onFrame(PeerConnection connection, Frame frame) {
		switch (frame.getBodyCase()) {
			case CALL -> handleCall(connection, frame.getCall());
			case NOTICE -> handleNotice(connection, frame.getNotice());
			default -> this.defaultListener.onFrame(connection, frame);
		}
	}

	@Override
	public void onSuspected(PeerConnection connection) {
		this.defaultListener.onSuspected(connection);
	}

	@Override
	public void onClosed(PeerConnection connection, OperationError reason) {
		this.defaultListener.onClosed(connection, reason);
	}

	private void handleCall(PeerConnection connection, Call call) {
		Endpoint<?, ?> endpoint = this.endpoints.get(call.getMethod());
		if (endpoint == null) {
			String message = "this process has no handler for the method " + call.getMethod();
			sendReply(connection, call.getId(), error(ErrorCode.NOT_FOUND, message));
			return;
		}
		PeerIdentity caller = connection.peer().orElseThrow();
		endpoint.handle(caller, call.getPayload())
			.whenComplete(
					(result, failure) -> sendReply(connection, call.getId(), resultOrFailure(call, result, failure)));
	}

	private void handleNotice(PeerConnection connection, Notice notice) {
		NoticeHandler handler = this.noticeHandlers.get(notice.getTopic());
		if (handler == null) {
			LOG.debug("notice-ignored", Field.of("topic", notice.getTopic()));
			return;
		}
		handler.onNotice(connection, notice.getPayload());
	}

	private static Result<ByteString> resultOrFailure(Call call, Result<ByteString> result, Throwable failure) {
		if (failure == null) {
			return result;
		}
		LOG.error("call-failed", Field.of("method", call.getMethod()), Field.of("error", failure));
		return error(ErrorCode.INVARIANT, "the handler failed: " + failure.getMessage());
	}

	private static void sendReply(PeerConnection connection, long id, Result<ByteString> result) {
		Reply.Builder reply = Reply.newBuilder().setId(id);
		result.value().ifPresent(reply::setPayload);
		result.error().ifPresent((error) -> reply.setError(WireErrors.encode(error)));
		connection.send(Frame.newBuilder().setReply(reply).build());
	}

	private static <T> Result<T> error(ErrorCode code, String message) {
		return Result.failure(OperationError.local(code, Step.SEND, message));
	}

	/**
	 * A method with its handler.
	 *
	 * @param <Q> the request's type
	 * @param <R> the reply's type
	 */
	private record Endpoint<Q extends Message, R extends Message>(RpcMethod<Q, R> method, RpcHandler<Q, R> handler) {

		CompletionStage<Result<ByteString>> handle(PeerIdentity caller, ByteString payload) {
			try {
				return this.handler.handle(caller, this.method.requestParser().parseFrom(payload))
					.thenApply((result) -> result.map(Message::toByteString));
			}
			catch (InvalidProtocolBufferException ex) {
				Result<ByteString> malformed = error(ErrorCode.MALFORMED,
						"cannot decode the request of a call to " + this.method.name());
				return CompletableFuture.completedFuture(malformed);
			}
		}

	}

	/**
	 * Closes connections that send frames for which no listener is set.
	 */
	private static final class RejectingListener implements PeerListener {

		@Override
		public void onFrame(PeerConnection connection, Frame frame) {
			LOG.warn("unexpected-frame", Field.of("frame", frame.getBodyCase()), Field.of("peer", connection));
			connection.close();
		}

		@Override
		public void onClosed(PeerConnection connection, OperationError reason) {
			LOG.debug("peer-disconnected", Field.of("reason", reason.message()));
		}

	}

}
