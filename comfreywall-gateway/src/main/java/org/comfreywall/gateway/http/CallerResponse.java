package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes the response to one request. Its end is marked only if the backend server marked
 * it: a response that the server ends with its connection ends with the connection to the
 * caller, too.
 */
final class CallerResponse {

	/** The standard header of a request that resumes an event stream. */
	static final String LAST_EVENT_ID = "Last-Event-Id";

	private static final int NO_LINGER = -1;

	private static final double MILLIS_PER_SECOND = 1000;

	private final ChannelHandlerContext context;

	private final ResponseTiming timing;

	private final boolean chunksAllowed;

	private EventFramer framer;

	/** The last event before one of which only a part has arrived. */
	private OptionalLong brokenAfter = OptionalLong.empty();

	private boolean started;

	private boolean keptAlive = true;

	private boolean endsWithConnection;

	CallerResponse(ChannelHandlerContext context, ResponseTiming timing, boolean chunksAllowed) {
		this.context = context;
		this.timing = timing;
		this.chunksAllowed = chunksAllowed;
	}

	/**
	 * Prepares an event stream as the response.
	 * @param resumable whether another server can resume it
	 * @param request the request's headers
	 */
	void prepareStream(boolean resumable, HttpHeaders request) {
		if (resumable) {
			this.framer = new EventFramer();
			String last = request.get(LAST_EVENT_ID, "");
			if (last.matches("\\d{1,18}")) {
				this.framer.startAfter(Long.parseLong(last));
			}
		}
	}

	/**
	 * Returns the identifier of the last event that the caller has received.
	 * @return the identifier, or empty if the stream starts at its beginning or cannot be
	 * resumed
	 */
	Optional<String> lastEventId() {
		return (this.framer != null && this.framer.lastId().isPresent())
				? Optional.of(Long.toString(this.framer.lastId().getAsLong())) : Optional.empty();
	}

	/**
	 * Returns whether a part of the response was written.
	 * @return {@code true} once the head was written
	 */
	boolean isStarted() {
		return this.started;
	}

	/**
	 * Returns whether the response of another server can replace or resume the present
	 * one.
	 * @return {@code true} if nothing was written, or only whole events of a resumable
	 * stream
	 */
	boolean isResumable() {
		return !this.started || (this.framer != null && this.framer.isResumable() && lastEventId().isPresent());
	}

	/**
	 * Returns whether the end of the connection is the only end that the response has.
	 * @return {@code false} if it has a length or a last chunk
	 */
	boolean endsWithConnection() {
		return this.endsWithConnection;
	}

	/**
	 * Returns whether the connection stays open after the response.
	 * @return {@code false} if the response ends with closing it
	 */
	boolean keptAlive() {
		return this.keptAlive;
	}

	/**
	 * Returns the memory that a partial event takes.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return (this.framer != null) ? this.framer.remainder().length : 0;
	}

	/**
	 * Discards a partial event, before another server resumes the stream.
	 */
	void discardPartialEvent() {
		if (this.framer != null) {
			if (this.framer.isWithinEvent()) {
				this.brokenAfter = this.framer.lastId();
			}
			this.framer.discardPartialEvent();
		}
	}

	/**
	 * Returns whether the stream has an event that the caller has not received: one of
	 * which a server had sent a part, and no later server has sent it.
	 * @return {@code true} if the stream must not end here
	 */
	boolean isEventMissing() {
		return this.brokenAfter.isPresent() && this.brokenAfter.equals(this.framer.lastId());
	}

	/**
	 * Returns whether the server that resumed the stream left out events.
	 * @return {@code true} if the stream must not go on
	 */
	boolean isEventSkipped() {
		return this.framer != null && this.framer.isEventSkipped();
	}

	/**
	 * Writes the head of a response whose parts are forwarded as they arrive, in chunks
	 * if the server marks its end.
	 * @param head the server's head
	 * @param events whether the response is an event stream; any other one is forwarded
	 * unchanged, and no other server can resume it
	 * @param marked whether the server marks the end
	 * @param keepAlive whether the connection stays open
	 */
	void start(HttpResponse head, boolean events, boolean marked, boolean keepAlive) {
		this.started = true;
		if (!events) {
			this.framer = null;
		}
		HttpResponse out = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
		EndToEndHeaders.copy(head.headers(), out.headers());
		if (marked && this.chunksAllowed) {
			out.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			close(out, keepAlive);
		}
		else {
			endWithConnection(out);
		}
		this.context.write(out, this.context.voidPromise());
	}

	void writePart(ByteBuf part) {
		ByteBuf out = (this.framer != null) ? this.framer.feed(part) : Unpooled.copiedBuffer(part);
		if (out.isReadable()) {
			this.timing.recordPart(System.nanoTime());
			this.context.writeAndFlush(new DefaultHttpContent(out), this.context.voidPromise());
		}
	}

	/**
	 * Ends the response as the backend server ended it.
	 */
	void complete() {
		writeRemainder();
		end(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	/**
	 * Writes what has arrived after the last whole event.
	 */
	void writeRemainder() {
		if (this.framer != null && this.framer.remainder().length > 0) {
			ByteBuf rest = Unpooled.wrappedBuffer(this.framer.remainder());
			this.context.writeAndFlush(new DefaultHttpContent(rest), this.context.voidPromise());
			this.framer.discardPartialEvent();
		}
	}

	void writeWhole(HttpResponse head, byte[] body, boolean marked, boolean keepAlive) {
		this.started = true;
		FullHttpResponse out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(),
				Unpooled.wrappedBuffer(body));
		EndToEndHeaders.copy(head.headers(), out.headers());
		if (!marked) {
			endWithConnection(out);
			end(out);
			return;
		}
		if (head.status().code() != HttpResponseStatus.NO_CONTENT.code()) {
			out.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		close(out, keepAlive);
		end(out);
	}

	/**
	 * Sends a response without body that this process generates.
	 * @param status the status
	 * @param retryAfter the time after which the caller may retry, or empty to send no
	 * such header
	 * @param keepAlive whether the connection stays open
	 */
	void sendStatus(HttpResponseStatus status, Optional<Duration> retryAfter, boolean keepAlive) {
		end(status(status, retryAfter, keepAlive));
	}

	private FullHttpResponse status(HttpResponseStatus status, Optional<Duration> retryAfter, boolean keepAlive) {
		this.started = true;
		FullHttpResponse out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
		out.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		retryAfter.ifPresent((wait) -> out.headers()
			.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", wait.toMillis() / MILLIS_PER_SECOND)));
		close(out, keepAlive);
		return out;
	}

	/**
	 * Sends a response without body that this process generates, after which the
	 * connection is to be closed by its owner.
	 * @param status the status
	 * @param retryAfter the time after which the caller may retry, or empty to send no
	 * such header
	 */
	void sendLastStatus(HttpResponseStatus status, Optional<Duration> retryAfter) {
		this.context.writeAndFlush(status(status, retryAfter, false), this.context.voidPromise());
	}

	/**
	 * Closes the connection within a response that cannot be completed, so that the
	 * caller does not take it for complete. A response that ends with its connection is
	 * reset.
	 */
	void abort() {
		this.keptAlive = false;
		this.context.close();
	}

	private void close(HttpResponse out, boolean keepAlive) {
		this.keptAlive = keepAlive;
		if (!keepAlive) {
			out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	// Every close resets the connection until the response is written completely, also
	// that by the operating system if this process is killed.
	private void endWithConnection(HttpResponse out) {
		this.endsWithConnection = true;
		this.context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
		close(out, false);
	}

	private void end(Object last) {
		if (this.keptAlive) {
			this.context.writeAndFlush(last, this.context.voidPromise());
			return;
		}
		this.context.writeAndFlush(last).addListener((written) -> {
			if (written.isSuccess()) {
				this.context.channel().config().setOption(ChannelOption.SO_LINGER, NO_LINGER);
			}
			this.context.close();
		});
	}

}
