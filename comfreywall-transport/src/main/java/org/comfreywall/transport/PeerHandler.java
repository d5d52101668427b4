package org.comfreywall.transport;

import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Hello;
import org.comfreywall.transport.generated.Ping;
import org.comfreywall.transport.generated.Pong;

/**
 * Exchanges identities and heartbeats with the peer, detects an unresponsive peer and
 * passes all other frames to the listener.
 */
final class PeerHandler extends SimpleChannelInboundHandler<Frame> {

	private static final EventLog LOG = EventLog.of(PeerHandler.class);

	private static final Frame PING = Frame.newBuilder().setPing(Ping.getDefaultInstance()).build();

	private static final Frame PONG = Frame.newBuilder().setPong(Pong.getDefaultInstance()).build();

	private final PeerIdentity self;

	private final ConnectionTimeouts timeouts;

	private final PeerListener listener;

	private PeerConnection connection;

	private Future<?> heartbeat;

	private long lastReadNanos;

	private OperationError closeReason;

	PeerHandler(PeerIdentity self, ConnectionTimeouts timeouts, PeerListener listener) {
		this.self = self;
		this.timeouts = timeouts;
		this.listener = listener;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.connection = new PeerConnection(context.channel());
		this.lastReadNanos = System.nanoTime();
		long interval = this.timeouts.heartbeatInterval().toNanos();
		this.heartbeat = context.executor()
			.scheduleAtFixedRate(() -> checkAndSendHeartbeat(context), interval, interval, TimeUnit.NANOSECONDS);
		context.writeAndFlush(createHello());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		this.lastReadNanos = System.nanoTime();
		if (this.connection.peer().isEmpty()) {
			handleHello(context, frame);
			return;
		}
		switch (frame.getBodyCase()) {
			case PING -> context.writeAndFlush(PONG);
			case PONG -> {
			}
			case HELLO, BODY_NOT_SET ->
				closeWithError(context, ErrorCode.MALFORMED, "unexpected frame " + frame.getBodyCase());
			default -> this.listener.onFrame(this.connection, frame);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		boolean malformed = cause instanceof DecoderException;
		closeWithError(context, malformed ? ErrorCode.MALFORMED : ErrorCode.CONNECTION_LOST,
				String.valueOf(cause.getMessage()));
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.heartbeat != null) {
			this.heartbeat.cancel(false);
		}
		if (this.closeReason == null) {
			this.closeReason = error(ErrorCode.CONNECTION_LOST, "connection closed");
		}
		this.listener.onClosed(this.connection, this.closeReason);
	}

	private void handleHello(ChannelHandlerContext context, Frame frame) {
		if (!frame.hasHello()) {
			closeWithError(context, ErrorCode.MALFORMED,
					"expected HELLO as the first frame but received " + frame.getBodyCase());
			return;
		}
		Hello hello = frame.getHello();
		if (hello.getVersion() != Transport.PROTOCOL_VERSION || hello.getInstance().isBlank()) {
			closeWithError(context, ErrorCode.MALFORMED, "unsupported protocol version " + hello.getVersion());
			return;
		}
		this.connection
			.setPeer(new PeerIdentity(InstanceId.of(hello.getInstance()), Incarnation.of(hello.getIncarnation())));
		this.listener.onOpen(this.connection);
	}

	private void checkAndSendHeartbeat(ChannelHandlerContext context) {
		long idleNanos = System.nanoTime() - this.lastReadNanos;
		if (idleNanos > this.timeouts.idleTimeout().toNanos()) {
			closeWithError(context, ErrorCode.CONNECTION_LOST,
					"no frame from the peer for " + TimeUnit.NANOSECONDS.toMillis(idleNanos) + " ms");
			return;
		}
		if (idleNanos > this.timeouts.suspicionTimeout().toNanos()) {
			this.listener.onSuspected(this.connection);
		}
		// Any other frame shows the peer as well that this process is alive.
		long silentNanos = System.nanoTime() - this.connection.lastSentNanos();
		if (silentNanos > this.timeouts.heartbeatInterval().toNanos() / 2) {
			context.writeAndFlush(PING);
		}
	}

	private void closeWithError(ChannelHandlerContext context, ErrorCode code, String message) {
		if (this.closeReason == null) {
			this.closeReason = error(code, message);
			LOG.warn("connection-failed", Field.of("peer", peerName()), Field.of("code", code),
					Field.of("reason", message));
		}
		context.close();
	}

	private OperationError error(ErrorCode code, String message) {
		Optional<InstanceId> peer = (this.connection != null) ? this.connection.peer().map(PeerIdentity::instance)
				: Optional.empty();
		return new OperationError(code, Step.SEND, peer, message);
	}

	private String peerName() {
		return this.connection.peer().map((peer) -> peer.instance().value()).orElse("unidentified");
	}

	private Frame createHello() {
		Hello hello = Hello.newBuilder()
			.setVersion(Transport.PROTOCOL_VERSION)
			.setInstance(this.self.instance().value())
			.setIncarnation(this.self.incarnation().value())
			.build();
		return Frame.newBuilder().setHello(hello).build();
	}

}
