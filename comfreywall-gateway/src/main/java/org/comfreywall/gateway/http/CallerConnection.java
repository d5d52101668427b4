package org.comfreywall.gateway.http;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.concurrent.ScheduledFuture;

/**
 * A connection from a caller. Reads whole requests and processes them one after the
 * other, including pipelined ones.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * The most pipelined requests that are queued while one is processed; then reading
	 * pauses.
	 */
	private static final int MAX_PIPELINED = 4;

	private final Gateway gateway;

	private final Deque<CallerRequest> pipelined = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private HttpRequest head;

	private ByteArrayOutputStream body;

	private Exchange exchange;

	private boolean closing;

	private ScheduledFuture<?> idleTimer;

	CallerConnection(Gateway gateway) {
		this.gateway = gateway;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		this.context = active;
		this.gateway.addCaller(this);
		startIdleTimer();
	}

	// The idle timeout applies until the head of the next request has been read.
	private void startIdleTimer() {
		cancelIdleTimer();
		long nanos = this.gateway.limits().idleTimeout().toNanos();
		this.idleTimer = this.context.executor().schedule(this::closeIdle, nanos, TimeUnit.NANOSECONDS);
	}

	private void closeIdle() {
		if (this.exchange == null) {
			this.context.close();
		}
	}

	private void cancelIdleTimer() {
		if (this.idleTimer != null) {
			this.idleTimer.cancel(false);
			this.idleTimer = null;
		}
	}

	boolean isIdle() {
		return this.exchange == null && this.head == null && this.pipelined.isEmpty();
	}

	/**
	 * Returns whether the connection closes after the present response.
	 * @return {@code true} once the connection is closing, for instance after an invalid
	 * request
	 */
	boolean isClosing() {
		return this.closing;
	}

	void close() {
		this.context.close();
	}

	void endExchange() {
		if (this.exchange != null) {
			this.exchange.processEnds();
		}
	}

	ChannelHandlerContext context() {
		return this.context;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext read, HttpObject message) {
		if (this.closing) {
			return;
		}
		if (message.decoderResult().isFailure()) {
			refuseMalformed(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpRequest request) {
			begin(request);
		}
		if (message instanceof HttpContent content && this.head != null) {
			collect(content);
		}
	}

	private void refuseMalformed(Throwable cause) {
		boolean tooLong = cause instanceof TooLongHttpHeaderException;
		refuse(tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
	}

	private void begin(HttpRequest request) {
		cancelIdleTimer();
		this.head = request;
		this.body = new ByteArrayOutputStream();
		if (HttpUtil.getContentLength(request, 0L) > this.gateway.limits().maxBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void collect(HttpContent content) {
		ByteBuf bytes = content.content();
		if (this.body.size() + bytes.readableBytes() > this.gateway.limits().maxBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		byte[] part = new byte[bytes.readableBytes()];
		bytes.readBytes(part);
		this.body.writeBytes(part);
		if (content instanceof LastHttpContent) {
			CallerRequest request = new CallerRequest(this.head.method(), this.head.uri(), this.head.headers(),
					this.body.toByteArray(), HttpUtil.isKeepAlive(this.head), System.nanoTime());
			this.head = null;
			this.body = null;
			enqueue(request);
		}
	}

	private void enqueue(CallerRequest request) {
		this.pipelined.addLast(request);
		if (this.pipelined.size() >= MAX_PIPELINED) {
			this.context.channel().config().setAutoRead(false);
		}
		startNext();
	}

	private void startNext() {
		if (this.exchange == null && !this.pipelined.isEmpty()) {
			CallerRequest request = this.pipelined.pollFirst();
			this.context.channel().config().setAutoRead(true);
			this.exchange = new Exchange(this.gateway, this, request);
			this.exchange.start();
		}
	}

	/**
	 * Called when the response was written completely or was aborted.
	 * @param keepAlive whether the connection may carry another request
	 */
	void exchangeEnded(boolean keepAlive) {
		this.exchange = null;
		if (keepAlive && this.gateway.isStopping()) {
			// The response head, sent before the stop began, announced keep-alive. A
			// request that arrives after the close is not processed and can be retried
			// elsewhere.
			this.closing = true;
			this.context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		if (!keepAlive) {
			this.closing = true;
			return;
		}
		startIdleTimer();
		startNext();
	}

	private void refuse(HttpResponseStatus status) {
		this.closing = true;
		this.head = null;
		if (this.exchange != null) {
			return;
		}
		DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().set(HttpHeaderNames.CONNECTION, "close").set(HttpHeaderNames.CONTENT_LENGTH, 0);
		this.context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext changed) {
		if (this.exchange != null) {
			this.exchange.callerWritable(changed.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		cancelIdleTimer();
		this.gateway.removeCaller(this);
		if (this.exchange != null) {
			this.exchange.callerDisconnected();
			this.exchange = null;
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		caught.close();
	}

}
