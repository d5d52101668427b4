package org.comfreywall.gateway.http;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.comfreywall.common.stream.EventBoundary;
import org.comfreywall.common.stream.ResponseBody;
import org.comfreywall.gateway.pool.AttemptResult;
import org.comfreywall.gateway.pool.PoolServer;
import org.comfreywall.gateway.pool.ServicePool;

/**
 * One attempt to have a request answered by one backend server.
 */
final class Attempt implements AttemptListener {

	/**
	 * Responses up to this size are buffered until they are complete, so that a retry can
	 * replace one that breaks off.
	 */
	private static final int MAX_BUFFERED_BYTES = 64 << 10;

	private final Exchange exchange;

	private final Gateway gateway;

	private final ServicePool pool;

	private final PoolServer server;

	private final long startedAt = System.nanoTime();

	private ServerConnection connection;

	private boolean ended;

	private HttpResponse head;

	private boolean eventStream;

	private Optional<EventBoundary> events = Optional.empty();

	private ByteArrayOutputStream buffered;

	private boolean discarding;

	private long sentAt;

	private long firstPartAt;

	private long lastPartAt;

	private final ServiceProgress progress;

	Attempt(Exchange exchange, Gateway gateway, ServicePool pool, PoolServer server) {
		this.exchange = exchange;
		this.gateway = gateway;
		this.pool = pool;
		this.server = server;
		this.progress = gateway.progress(exchange.serviceName());
	}

	void connect(long longestIdleNanos) {
		this.gateway.connections()
			.acquire(this.server.announcement(), longestIdleNanos, this::connected, this::connectFailed);
	}

	/**
	 * Returns the memory that a response takes until it is complete.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return (this.buffered != null) ? this.buffered.size() : 0;
	}

	boolean isSent() {
		return this.connection != null;
	}

	void pauseReading(boolean paused) {
		if (this.connection != null && !this.ended) {
			this.connection.pauseReading(paused);
		}
	}

	/**
	 * Cancels the attempt by closing its connection, which the server detects.
	 */
	void cancel() {
		if (!this.ended) {
			if (this.connection != null) {
				this.connection.abort();
			}
			end(AttemptResult.CANCELLED);
		}
	}

	private void connected(ServerConnection opened) {
		if (this.ended) {
			this.gateway.connections().release(opened);
			return;
		}
		this.sentAt = System.nanoTime();
		if (!this.pool.tryStart(this.server, this.sentAt)) {
			opened.close();
			end(AttemptResult.CANCELLED);
			this.exchange.notSent();
			return;
		}
		this.connection = opened;
		this.exchange.connected();
		this.exchange.recordResponse(ResponseFraming.NONE, opened.responses());
		this.gateway.log().sent(this.exchange, this.server);
		opened.send(message(), this);
		if (!this.ended && !this.exchange.isCallerWritable()) {
			// Only changes are reported, and an earlier attempt has seen this one.
			opened.pauseReading(true);
		}
	}

	private void connectFailed() {
		if (!this.ended) {
			end(AttemptResult.BROKEN);
			this.exchange.connectFailed(this.server);
		}
	}

	private FullHttpRequest message() {
		CallerRequest request = this.exchange.request();
		HeaderNames names = this.gateway.names();
		FullHttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(),
				Unpooled.wrappedBuffer(request.body()));
		HttpHeaders headers = message.headers();
		EndToEndHeaders.copy(request.headers(), headers);
		headers.remove(names.key()).remove(names.account()).remove(names.expectedServer());
		if (!this.exchange.account().isEmpty()) {
			headers.set(names.account(), this.exchange.account());
		}
		headers.set(names.expectedServer(), this.server.announcement().server());
		headers.set(names.deadline(), this.exchange.millisLeft(System.nanoTime()));
		if (!headers.contains(names.enginePriority())) {
			this.exchange.enginePriority().ifPresent((priority) -> headers.set(names.enginePriority(), priority));
		}
		this.exchange.response().lastEventId().ifPresent((last) -> headers.set(CallerResponse.LAST_EVENT_ID, last));
		if (request.body().length > 0 || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
		}
		return message;
	}

	@Override
	public void onHead(HttpResponse received) {
		this.exchange.recordResponse(ResponseFraming.of(received), this.connection.responses());
		HeaderNames names = this.gateway.names();
		boolean misdirected = received.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
		if (misdirected || received.headers().contains(names.notRun())) {
			discardRest();
			if (misdirected) {
				this.pool.coldServers().recordMisdirected(this.server, this.sentAt);
			}
			end(AttemptResult.REJECTED);
			this.gateway.log().rejected(this.exchange, this.server, received);
			this.exchange.rejected(this.server, received);
			return;
		}
		boolean success = received.status().code() / 100 == 2;
		if (this.exchange.isConfirmingEnd() && received.status().code() < 500 && !isEventStream(received)) {
			discardRest();
			end(Exchange.resultOf(received));
			this.exchange.notContinued();
			return;
		}
		if (success && !received.headers().contains(names.seal())) {
			this.connection.abort();
			onBroken("success without seal");
			return;
		}
		if (this.exchange.response().isStarted() && isEventStream(received)) {
			begin(received);
			return;
		}
		if (received.status().code() >= 500 && this.exchange.tryTakeRetry("error " + received.status().code())) {
			discardRest();
			end(Exchange.resultOf(received));
			this.exchange.sendAgain(this.server);
			return;
		}
		if (this.exchange.response().isStarted()) {
			this.connection.abort();
			onBroken("stream could not be continued");
			return;
		}
		begin(received);
		this.buffered = new ByteArrayOutputStream();
	}

	private void begin(HttpResponse received) {
		this.head = received;
		this.eventStream = isEventStream(received);
		if (this.eventStream || isUnmarkedEventStream(received)) {
			this.events = Optional.of(new EventBoundary());
		}
	}

	private boolean isUnmarkedEventStream(HttpResponse received) {
		return EventBoundary.isEventStream(received.headers().get(HttpHeaderNames.CONTENT_TYPE, ""))
				&& !ResponseFraming.of(received).isDelimited();
	}

	private boolean isEventStream(HttpResponse received) {
		String type = received.headers().get(HttpHeaderNames.CONTENT_TYPE);
		return isStreamed(received) && (type == null || EventBoundary.isEventStream(type));
	}

	// Whether parts of the response are forwarded as they arrive.
	private boolean isStreamed(HttpResponse received) {
		return this.exchange.isStream() && received.status().equals(HttpResponseStatus.OK);
	}

	private void discardRest() {
		this.discarding = true;
		this.connection.limitRest();
	}

	@Override
	public void onBody(ByteBuf part) {
		if (this.discarding) {
			this.connection.skip(part.readableBytes());
			return;
		}
		recordPart();
		this.events.ifPresent((boundary) -> part.forEachByte((next) -> {
			boundary.accept(next);
			return true;
		}));
		if (this.events.filter(EventBoundary::isFollowedByResponse).isPresent()) {
			this.connection.abort();
			onBroken("followed by another response");
			return;
		}
		CallerResponse response = this.exchange.response();
		if (response.isStarted()) {
			response.writePart(part);
			if (response.isEventSkipped()) {
				this.connection.abort();
				onBroken("events left out");
			}
		}
		else if (isStreamed(this.head)) {
			response.start(this.head, this.eventStream, !isUnmarked(), this.exchange.keepAlive());
			response.writePart(part);
		}
		else {
			buffer(part);
		}
		this.exchange.heldChanged();
	}

	private void recordPart() {
		long now = System.nanoTime();
		this.pool.work().recordEvent(this.server, this.exchange.id());
		if (this.firstPartAt == 0) {
			this.firstPartAt = now;
			this.progress.begin(now);
			this.gateway.poison().recordBegun(this.exchange.traits(), now);
		}
		else {
			this.progress.advance(now);
			if (this.eventStream) {
				this.pool.recordPause(this.server, now - this.lastPartAt, now);
				this.gateway.log().pause(this.server, now - this.lastPartAt);
			}
		}
		this.lastPartAt = now;
	}

	private void buffer(ByteBuf part) {
		byte[] bytes = new byte[part.readableBytes()];
		part.readBytes(bytes);
		this.buffered.writeBytes(bytes);
		if (this.buffered.size() > MAX_BUFFERED_BYTES) {
			this.exchange.response().start(this.head, false, !isUnmarked(), this.exchange.keepAlive());
			this.exchange.response().writePart(Unpooled.wrappedBuffer(this.buffered.toByteArray()));
		}
	}

	@Override
	public void onComplete() {
		if (this.discarding || this.ended) {
			return;
		}
		if (isUnmarked()) {
			this.gateway.log().unmarked(this.exchange, this.server, this.gateway.loop().isShuttingDown());
		}
		if (confirmsEnd()) {
			end(Exchange.resultOf(this.head));
			this.exchange.notContinued();
			return;
		}
		Optional<String> fault = findFault();
		if (fault.isPresent()) {
			onBroken(fault.get());
			return;
		}
		end(Exchange.resultOf(this.head));
		this.gateway.poison().recordCompleted(this.exchange.traits(), System.nanoTime());
		if (!isUnmarked() || !this.exchange.tryConfirmEnd(this.server)) {
			writeEnd();
		}
	}

	// Only the end of the connection ends the response, which also ends one whose server
	// stopped.
	private boolean isUnmarked() {
		return hasBody() && !ResponseFraming.of(this.head).isDelimited();
	}

	private boolean hasBody() {
		return ResponseBody.isAllowed(this.exchange.request().method().name(), this.head.status().code());
	}

	// A second server without further events agrees with an end, but does not prove it if
	// its own is not marked either.
	private boolean confirmsEnd() {
		return this.exchange.isConfirmingEnd() && !this.exchange.isEndRefuted() && isUnmarked() && !endsWithinEvent();
	}

	private Optional<String> findFault() {
		if (endsWithinEvent()) {
			return Optional.of("ended within an event");
		}
		if (lacksEvent()) {
			return Optional.of("ended without an expected event");
		}
		if (isCutAfterHead()) {
			return Optional.of("ended after its head");
		}
		if (containsCopy()) {
			return Optional.of("another response within its body");
		}
		return (isUnmarked() && mustBeMarked()) ? Optional.of("end not marked") : Optional.empty();
	}

	private boolean mustBeMarked() {
		CallerResponse response = this.exchange.response();
		return this.exchange.isEndRefuted() || (response.isStarted() && !response.endsWithConnection());
	}

	private void writeEnd() {
		CallerResponse response = this.exchange.response();
		if (!response.isStarted() && isStreamed(this.head)) {
			response.start(this.head, this.eventStream, !isUnmarked(), this.exchange.keepAlive());
		}
		if (response.isStarted()) {
			response.complete();
		}
		else {
			response.writeWhole(this.head, this.buffered.toByteArray(), !isUnmarked(), this.exchange.keepAlive());
		}
		this.exchange.completed(this.head.status().code());
	}

	// The end of a connection ends a stream without a length even if its server stopped.
	private boolean endsWithinEvent() {
		return this.events.filter((boundary) -> boundary.isBrokenOff(true)).isPresent();
	}

	// A stream without any event, also one that resumes, cannot be told from one whose
	// server stopped after its head, unless its end is marked.
	private boolean lacksEvent() {
		boolean mayBeEmpty = ResponseFraming.of(this.head).isDelimited();
		return this.events.filter((boundary) -> boundary.isBrokenOff(mayBeEmpty)).isPresent()
				|| this.exchange.response().isEventMissing();
	}

	// The end of the connection ends a response without a length. An empty one cannot be
	// told from one whose server stopped after its head, and servers state a length of 0.
	private boolean isCutAfterHead() {
		return this.events.isEmpty() && isUnmarked() && this.firstPartAt == 0;
	}

	// A server that answers twice writes the copy into the body of the first response if
	// that one has no length, or is shorter than its length.
	private boolean containsCopy() {
		String name = this.gateway.names().request();
		return this.buffered != null && ResponseCopy.isIn(this.buffered.toByteArray(), name, this.exchange.requestId());
	}

	@Override
	public void onBroken(String reason) {
		if (this.discarding || this.ended) {
			return;
		}
		end(AttemptResult.BROKEN);
		boolean begun = this.firstPartAt != 0;
		this.gateway.log().broken(this.exchange, this.server, reason, begun);
		long now = System.nanoTime();
		if (!this.progress.isStalled(now)) {
			this.gateway.poison()
				.recordBroken(this.server.announcement().address().toString(),
						this.server.announcement().startedMillis(), this.exchange.requestId(), this.exchange.traits(),
						begun, now);
		}
		this.exchange.failed(this.server, reason);
	}

	private void end(AttemptResult result) {
		this.ended = true;
		if (this.firstPartAt != 0) {
			this.progress.end();
		}
		long now = System.nanoTime();
		long first = (this.firstPartAt != 0) ? this.firstPartAt : now;
		this.pool.release(this.server, this.exchange.id(), result, first - this.startedAt, now);
		this.gateway.dispatchWaiting(this.pool);
	}

}
