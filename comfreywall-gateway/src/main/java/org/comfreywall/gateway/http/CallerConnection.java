package org.comfreywall.gateway.http;

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
import io.netty.channel.ChannelOutboundBuffer;
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
 * other, including pipelined ones. Reads and processes no further request while the
 * caller does not read its responses.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * The most pipelined requests that are queued while one is processed; then reading
	 * pauses.
	 */
	private static final int MAX_PIPELINED = 4;

	/** The memory that these may take before reading pauses, in bytes. */
	private static final long MAX_PIPELINED_BYTES = 64 << 10;

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

	private BodyBuffer body;

	/** The bytes reserved for the request that is being read. */
	private long reservedBytes;

	/** The bytes reserved for the request that is being processed. */
	private long processedBytes;

	/** The bytes received that no message was decoded from yet. */
	private long undecodedBytes;

	/** The bytes counted besides those reserved for requests. */
	private long trafficBytes;

	/** When the caller last sent or read a byte. */
	private long quietSince = System.nanoTime();

	private long receivedAt = this.quietSince;

	private long unreadBytes;

	/** The bytes reserved for requests that wait. */
	private long queuedBytes;

	private long writeProgress;

	private Exchange exchange;

	private long bodyStart;

	/** Whether the caller awaits {@code 100 Continue} before it sends the body. */
	private boolean continueAwaited;

	private boolean closing;

	/** Whether the last response was written, so that no further request starts. */
	private boolean finished;

	private boolean starting;

	private ScheduledFuture<?> idleTimer;

	private boolean lingering;

	CallerConnection(Gateway gateway) {
		this.gateway = gateway;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		this.context = active;
		if (!this.gateway.callers().add(this)) {
			this.closing = true;
			this.finished = true;
			active.close();
			return;
		}
		startIdleTimer();
	}

	/**
	 * Called with bytes that are not decoded yet.
	 * @param bytes the number of bytes
	 */
	void received(int bytes) {
		this.receivedAt = System.nanoTime();
		this.quietSince = this.receivedAt;
		this.undecodedBytes += bytes;
	}

	/**
	 * Counts what is held for this connection besides its requests.
	 */
	void updateHeld() {
		ChannelOutboundBuffer out = this.context.channel().unsafe().outboundBuffer();
		long unread = (out != null) ? out.totalPendingWriteBytes() : 0;
		// A part of a response may be written.
		long progress = (out != null) ? out.currentProgress() : 0;
		if (unread != this.unreadBytes || progress != this.writeProgress) {
			this.quietSince = System.nanoTime();
			this.unreadBytes = unread;
			this.writeProgress = progress;
		}
		if (!this.context.channel().isActive()) {
			return;
		}
		long held = unread + ((this.head == null) ? this.undecodedBytes : 0)
				+ ((this.exchange != null) ? this.exchange.heldBytes() : 0);
		this.gateway.bodies().add(held - this.trafficBytes);
		boolean more = held > this.trafficBytes;
		this.trafficBytes = held;
		if (more && this.gateway.bodies().excessBytes() > 0) {
			this.gateway.callers().relieve();
		}
	}

	/**
	 * Returns what this connection holds.
	 * @return its phase and the counted bytes
	 */
	HeldConnection<CallerConnection> held() {
		CallerPhase phase = phase();
		if (phase == CallerPhase.PIPELINED_BODY) {
			return new HeldConnection<>(this, phase, this.reservedBytes, this.receivedAt);
		}
		long bytes = this.reservedBytes + this.processedBytes + this.queuedBytes + this.trafficBytes;
		return new HeldConnection<>(this, phase, bytes,
				(phase == CallerPhase.BODY) ? this.receivedAt : this.quietSince);
	}

	private CallerPhase phase() {
		boolean reading = this.head != null;
		if (this.exchange != null || !this.pipelined.isEmpty()) {
			boolean unread = this.exchange == null && this.unreadBytes > 0;
			CallerPhase processing = reading ? CallerPhase.PIPELINED_BODY : CallerPhase.RUNNING;
			return unread ? CallerPhase.UNREAD : processing;
		}
		if (this.closing || this.unreadBytes > 0) {
			return CallerPhase.UNREAD;
		}
		return reading ? CallerPhase.BODY : CallerPhase.IDLE;
	}

	/**
	 * Updates what is held and closes the connection if the caller has read nothing of
	 * its responses for the idle timeout.
	 */
	void check() {
		updateHeld();
		boolean quiet = System.nanoTime() - this.quietSince >= this.gateway.limits().idleTimeout().toNanos();
		if (quiet && this.unreadBytes > 0 && this.exchange == null) {
			this.gateway.log().unread(held());
			this.context.close();
		}
	}

	/**
	 * Releases what this connection holds, as others need it. A request that is being
	 * read is refused, and one before it completes; otherwise the connection is closed.
	 */
	void releaseStalled() {
		if (this.head != null && phase() != CallerPhase.UNREAD) {
			this.quietSince = System.nanoTime();
			refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(this.gateway.bodies().retryAfter()));
		}
		else {
			closeAndRelease();
		}
	}

	/**
	 * Closes the connection and releases at once what it holds.
	 */
	void closeAndRelease() {
		releaseHeld();
		this.context.close();
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
		if (this.exchange != null) {
			return;
		}
		updateHeld();
		long left = this.quietSince + this.gateway.limits().idleTimeout().toNanos() - System.nanoTime();
		if (this.unreadBytes > 0 && left > 0 && this.head == null) {
			startTimer(left);
		}
		else {
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
		this.undecodedBytes = 0;
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
		long length = HttpUtil.getContentLength(request, -1L);
		this.head = request;
		this.bodyStart = System.nanoTime();
		this.body = new BodyBuffer((int) Math.min(Integer.MAX_VALUE, length));
		if (length > this.gateway.limits().maxBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
		}
		else if (!tryReserve(CallerRequest.headBytes(request.uri(), request.headers()) + Math.max(0, length))) {
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
		if (!tryReserve(this.body.growth(bytes.readableBytes()))) {
			refuseForMemory();
			return;
		}
		this.body.append(bytes);
		if (content instanceof LastHttpContent) {
			if (!tryReserve(this.body.joinBytes())) {
				refuseForMemory();
				return;
			}
			complete();
		}
	}

	private void complete() {
		CallerRequest request = new CallerRequest(this.head.method(), this.head.uri(), this.head.protocolVersion(),
				this.head.headers(), this.body.join(), HttpUtil.isKeepAlive(this.head), System.nanoTime());
		this.head = null;
		this.body = null;
		this.gateway.bodies().release(this.reservedBytes - request.heldBytes());
		this.reservedBytes = 0;
		cancelIdleTimer();
		enqueue(request);
	}

	private boolean tryReserve(long bytes) {
		BodyBudget budget = this.gateway.bodies();
		boolean reserved = bytes <= 0 || budget.tryReserve(bytes, this.reservedBytes);
		if (!reserved && this.gateway.callers().freeMemory(budget.missingBytes(bytes, this.reservedBytes))) {
			reserved = budget.tryReserve(bytes, this.reservedBytes);
		}
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
		this.queuedBytes += request.heldBytes();
		updateReading();
		if (this.gateway.isCatchingUp(System.nanoTime())) {
			// If the caller has left meanwhile, the end of its connection is read first.
			this.context.executor().schedule(this::startNext, CATCH_UP_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			startNext();
		}
	}

	// Requests that are refused at once end within their start.
	private void startNext() {
		if (this.starting) {
			return;
		}
		this.starting = true;
		while (canStart()) {
			CallerRequest request = this.pipelined.pollFirst();
			this.processedBytes = request.heldBytes();
			this.queuedBytes -= this.processedBytes;
			this.exchange = new Exchange(this.gateway, this, request);
			this.exchange.start();
		}
		this.starting = false;
		updateReading();
	}

	private boolean canStart() {
		return !this.finished && this.exchange == null && !this.pipelined.isEmpty()
				&& this.context.channel().isWritable();
	}

	// The rest of a refused request is read and dropped.
	private void updateReading() {
		boolean ready = this.pipelined.size() < MAX_PIPELINED && this.queuedBytes < MAX_PIPELINED_BYTES
				&& this.context.channel().isWritable();
		this.context.channel().config().setAutoRead(this.closing || ready);
	}

	/**
	 * Called when the response was written completely or was aborted.
	 * @param keepAlive whether the connection may carry another request
	 */
	void exchangeEnded(boolean keepAlive) {
		this.exchange = null;
		releaseProcessed();
		updateHeld();
		if (keepAlive && this.gateway.isStopping()) {
			// The response head, sent before the stop began, announced keep-alive. A
			// request that arrives after the close is not processed and can be retried
			// elsewhere.
			this.closing = true;
			this.finished = true;
			this.context.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		if (!keepAlive) {
			this.closing = true;
			this.finished = true;
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
		if (this.exchange != null || !this.pipelined.isEmpty()) {
			// The response to an earlier request is the last one.
			return;
		}
		this.finished = true;
		updateReading();
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
		updateReading();
		if (changed.channel().isWritable()) {
			startNext();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		cancelIdleTimer();
		this.continueAwaited = false;
		this.gateway.callers().remove(this);
		this.finished = true;
		if (this.exchange != null) {
			this.exchange.callerDisconnected();
			this.exchange = null;
		}
		releaseHeld();
	}

	private void releaseHeld() {
		releaseProcessed();
		releaseReserved();
		this.gateway.bodies().release(this.queuedBytes);
		this.queuedBytes = 0;
		this.pipelined.clear();
		this.gateway.bodies().add(-this.trafficBytes);
		this.trafficBytes = 0;
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext caught, Throwable cause) {
		caught.close();
	}

}
