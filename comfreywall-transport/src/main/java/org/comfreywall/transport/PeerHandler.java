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

	static final int VERSION = 1;

	private static final EventLog LOG = EventLog.of(PeerHandler.class);

	private static final Frame PING = Frame.newBuilder().setPing(Ping.getDefaultInstance()).build();

	private static final Frame PONG = Frame.newBuilder().setPong(Pong.getDefaultInstance()).build();

	private final PeerIdentity self;

	private final ConnectionTimes times;

	private final PeerListener listener;

	private PeerConnection connection;

	private Future<?> heartbeat;

	private long lastRead;

	private OperationError reason;

	PeerHandler(PeerIdentity self, ConnectionTimes timeouts, PeerListener listener) {
		this.self = self;
		this.times = timeouts;
		this.listener = listener;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.connection = new PeerConnection(context.channel());
		this.lastRead = System.nanoTime();
		long interval = this.times.heartbeatInterval().toNanos();
		this.heartbeat = context.executor()
			.scheduleAtFixedRate(() -> beat(context), interval, interval, TimeUnit.NANOSECONDS);
		context.writeAndFlush(greeting());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Frame frame) {
		this.lastRead = System.nanoTime();
		if (this.connection.peer().isEmpty()) {
			greet(context, frame);
			return;
		}
		switch (frame.getBodyCase()) {
			case PING -> context.writeAndFlush(PONG);
			case PONG -> {
			}
			case HELLO, BODY_NOT_SET -> fail(context, ErrorCode.MALFORMED, "unexpected frame " + frame.getBodyCase());
			default -> this.listener.onFrame(this.connection, frame);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		boolean malformed = cause instanceof DecoderException;
		fail(context, malformed ? ErrorCode.MALFORMED : ErrorCode.CONNECTION_LOST, String.valueOf(cause.getMessage()));
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.heartbeat != null) {
			this.heartbeat.cancel(false);
		}
		if (this.reason == null) {
			this.reason = error(ErrorCode.CONNECTION_LOST, "connection closed");
		}
		this.listener.onClosed(this.connection, this.reason);
	}

	private void greet(ChannelHandlerContext context, Frame frame) {
		if (!frame.hasHello()) {
			fail(context, ErrorCode.MALFORMED, "expected HELLO as the first frame but received " + frame.getBodyCase());
			return;
		}
		Hello hello = frame.getHello();
		if (hello.getVersion() != VERSION || hello.getInstance().isBlank()) {
			fail(context, ErrorCode.MALFORMED, "unsupported protocol version " + hello.getVersion());
			return;
		}
		this.connection
			.identify(new PeerIdentity(InstanceId.of(hello.getInstance()), Incarnation.of(hello.getIncarnation())));
		this.listener.onOpen(this.connection);
	}

	private void beat(ChannelHandlerContext context) {
		long idleNanos = System.nanoTime() - this.lastRead;
		if (idleNanos > this.times.idleTimeout().toNanos()) {
			fail(context, ErrorCode.CONNECTION_LOST,
					"no frame from the peer for " + TimeUnit.NANOSECONDS.toMillis(idleNanos) + " ms");
			return;
		}
		if (idleNanos > this.times.suspicionTimeout().toNanos()) {
			this.listener.onSuspicion(this.connection);
		}
		context.writeAndFlush(PING);
	}

	private void fail(ChannelHandlerContext context, ErrorCode code, String message) {
		if (this.reason == null) {
			this.reason = error(code, message);
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

	private Frame greeting() {
		Hello hello = Hello.newBuilder()
			.setVersion(VERSION)
			.setInstance(this.self.instance().value())
			.setIncarnation(this.self.incarnation().value())
			.build();
		return Frame.newBuilder().setHello(hello).build();
	}

}
