package org.comfreywall.gateway.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
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

	/**
	 * Time for which the rest of a refused request is read and dropped. Closing a
	 * connection with unread bytes would reset it, and the caller would lose the
	 * response.
	 */
	private static final long LINGER_MILLIS = 1000;

	/**
	 * Time that a request is held back after a pause of this process. The end of its
	 * connection, if there is one, is read within one iteration of the event loop.
	 */
	private static final long CATCH_UP_MILLIS = 20;

	/**
	 * Rate below which a body that takes longer than the idle timeout counts as stalled.
	 */
	private static final int MIN_BODY_BYTES_PER_SECOND = 1024;

	private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

	private final Gateway gateway;

	private final Deque<CallerRequest> pipelined = new ArrayDeque<>();

	private ChannelHandlerContext context;

	private HttpRequest head;

	private ByteArrayOutputStream body;

	/** The bytes reserved for the body that is being read. */
	private long reservedBytes;

	/** The bytes reserved for the body of the request that is being processed. */
	private long processedBytes;

	private Exchange exchange;

	private long bodyStart;

	/** Whether the caller awaits {@code 100 Continue} before it sends the body. */
	private boolean continueAwaited;

	private boolean closing;

	private ScheduledFuture<?> idleTimer;

	private boolean lingering;

	CallerConnection(Gateway gateway) {
		this.gateway = gateway;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		this.context = active;
		this.gateway.addCaller(this);
		startIdleTimer();
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext read) {
		if (this.head != null) {
			startBodyTimer();
		}
		read.fireChannelReadComplete();
	}

	// The idle timeout applies while the next byte of a request is awaited.
	private void startIdleTimer() {
		startTimer(this.gateway.limits().idleTimeout().toNanos());
	}

	// A slow body may take its time, but a caller that sends a byte now and then must not
	// hold memory for ever.
	private void startBodyTimer() {
		long idleTimeout = this.gateway.limits().idleTimeout().toNanos();
		long allowed = idleTimeout + TimeUnit.SECONDS.toNanos(this.body.size()) / MIN_BODY_BYTES_PER_SECOND;
		startTimer(Math.min(idleTimeout, this.bodyStart + allowed - System.nanoTime()));
	}

	private void startTimer(long nanos) {
		cancelIdleTimer();
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
			if (this.lingering && message instanceof LastHttpContent) {
				this.context.close();
			}
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
		long length = HttpUtil.getContentLength(request, 0L);
		this.head = request;
		this.body = new ByteArrayOutputStream();
		this.bodyStart = System.nanoTime();
		if (length > this.gateway.limits().maxBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		}
		else if (!tryReserve(length)) {
			refuseForMemory();
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.continueAwaited = true;
			sendContinue();
		}
	}

	// An interim response must not come before or within the response to an earlier
	// request. It bypasses the codec, which would count it as the response to a request
	// and encode later responses as if they were to other methods.
	private void sendContinue() {
		if (this.continueAwaited && this.exchange == null && this.pipelined.isEmpty()) {
			this.continueAwaited = false;
			this.bodyStart = System.nanoTime();
			ChannelHandlerContext codec = this.context.pipeline().context(HttpServerCodec.class);
			codec.writeAndFlush(Unpooled.wrappedBuffer(CONTINUE), codec.voidPromise());
		}
	}

	private void collect(HttpContent content) {
		ByteBuf bytes = content.content();
		if (bytes.isReadable() || content instanceof LastHttpContent) {
			this.continueAwaited = false;
		}
		if (this.body.size() + bytes.readableBytes() > this.gateway.limits().maxBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		if (!tryReserve(this.body.size() + bytes.readableBytes() - this.reservedBytes)) {
			refuseForMemory();
			return;
		}
		byte[] part = new byte[bytes.readableBytes()];
		bytes.readBytes(part);
		this.body.writeBytes(part);
		if (content instanceof LastHttpContent) {
			CallerRequest request = new CallerRequest(this.head.method(), this.head.uri(), this.head.protocolVersion(),
					this.head.headers(), this.body.toByteArray(), HttpUtil.isKeepAlive(this.head), System.nanoTime());
			this.head = null;
			this.body = null;
			// Fewer bytes than announced end as a malformed request, not here.
			this.reservedBytes = 0;
			cancelIdleTimer();
			enqueue(request);
		}
	}

	private boolean tryReserve(long bytes) {
		boolean reserved = bytes <= 0 || this.gateway.bodies().tryReserve(bytes);
		if (reserved) {
			this.reservedBytes += Math.max(0, bytes);
		}
		return reserved;
	}

	private void releaseReserved() {
		this.gateway.bodies().release(this.reservedBytes);
		this.reservedBytes = 0;
	}

	private void refuseForMemory() {
		this.gateway.log().bodyRefused(this.head, this.body.size(), this.gateway.bodies().usedBytes());
		refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(this.gateway.bodies().retryAfter()));
	}

	private void enqueue(CallerRequest request) {
		this.pipelined.addLast(request);
		if (this.pipelined.size() >= MAX_PIPELINED) {
			this.context.channel().config().setAutoRead(false);
		}
		if (this.gateway.isCatchingUp(System.nanoTime())) {
			// If the caller has left meanwhile, the end of its connection is read first.
			this.context.executor().schedule(this::startNext, CATCH_UP_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			startNext();
		}
	}

	private void startNext() {
		if (this.exchange == null && !this.pipelined.isEmpty()) {
			CallerRequest request = this.pipelined.pollFirst();
			this.context.channel().config().setAutoRead(true);
			this.processedBytes = request.body().length;
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
		releaseProcessed();
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
		sendContinue();
	}

	private void releaseProcessed() {
		this.gateway.bodies().release(this.processedBytes);
		this.processedBytes = 0;
	}

	private void refuse(HttpResponseStatus status) {
		refuse(status, Optional.empty());
	}

	private void refuse(HttpResponseStatus status, Optional<Duration> retryAfter) {
		this.closing = true;
		this.continueAwaited = false;
		this.head = null;
		this.body = null;
		releaseReserved();
		cancelIdleTimer();
		if (this.exchange != null) {
			return;
		}
		CallerResponse response = new CallerResponse(this.context, new ResponseTiming(System.nanoTime()), true);
		response.sendLastStatus(status, retryAfter);
		this.lingering = true;
		this.context.executor().schedule(() -> this.context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
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
		this.continueAwaited = false;
		this.gateway.removeCaller(this);
		if (this.exchange != null) {
			this.exchange.callerDisconnected();
			this.exchange = null;
		}
		releaseProcessed();
		releaseReserved();
		this.pipelined.forEach((request) -> this.gateway.bodies().release(request.body().length));
		this.pipelined.clear();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		caught.close();
	}

}
