package org.comfreywall.gateway.http;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.comfreywall.common.stream.ResponseStatus;
import org.comfreywall.gateway.pool.ServerAnnouncement;

/**
 * A connection to one backend server, used for one attempt at a time.
 * <p>
 * A response whose request identifier differs from that of the attempt is a late response
 * to an earlier attempt: it is skipped, and the connection is not reused.
 */
final class ServerConnection extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * Share of the server's idle timeout for which a connection is reused, so that the
	 * server does not close it just as a request is sent.
	 */
	private static final double IDLE_SHARE = 0.6;

	private static final long DEFAULT_IDLE_NANOS = 600_000_000L;

	/** Responses to earlier attempts are about as long as those that are awaited. */
	private static final int MAX_SKIPPED_BYTES = 1 << 20;

	/** A rejection or an error is short. */
	private static final int MAX_REST_SECONDS = 2;

	/** Counted for the head of each skipped response, so that their number is bounded. */
	private static final int SKIPPED_HEAD_BYTES = 1 << 10;

	/**
	 * The part of a body that is written at once. Each part is copied to direct memory,
	 * and a whole body would be held twice.
	 */
	private static final int BODY_PART_BYTES = 32 << 10;

	/** The start of a status line; values such as {@code Via} name only the protocol. */
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}(?: |$)");

	private final ServerConnectionPool owner;

	private final ServerAnnouncement server;

	private final HeaderNames names;

	private final ResponseDecoder decoder = new ResponseDecoder(() -> this.listener == null);

	private Channel channel;

	private AttemptListener listener;

	private String request;

	private boolean written;

	/** The rest of the body that is being sent, empty if there is none. */
	private ByteBuf unsent = Unpooled.EMPTY_BUFFER;

	private boolean sending;

	private boolean skipping;

	private int skippedBytes;

	private int responses;

	private boolean reusable = true;

	private boolean reset;

	private boolean lengthDelimited;

	private boolean inAnswer;

	private long idleNanos = DEFAULT_IDLE_NANOS;

	private long idleSince;

	ServerConnection(ServerConnectionPool owner, ServerAnnouncement server, HeaderNames names) {
		this.owner = owner;
		this.server = server;
		this.names = names;
	}

	ServerAnnouncement server() {
		return this.server;
	}

	/**
	 * Returns the handlers for the pipeline of the connection.
	 * @return the handlers, each for this connection only
	 */
	ChannelHandler[] handlers() {
		return new ChannelHandler[] { new HttpRequestEncoder(), this.decoder, this };
	}

	/**
	 * Returns how many responses the connection has carried completely.
	 * @return the number, without responses that were skipped
	 */
	int responses() {
		return this.responses;
	}

	void send(FullHttpRequest sent, AttemptListener answers) {
		this.listener = answers;
		this.skippedBytes = 0;
		this.request = sent.headers().get(this.names.request());
		this.written = false;
		this.decoder.expectResponseTo(sent.method());
		// Whether a late copy of a response has a body depends on the method of a request
		// that is over, so no connection carries both kinds.
		this.reusable = this.reusable && !sent.method().equals(HttpMethod.HEAD);
		if (sent.content().readableBytes() <= BODY_PART_BYTES) {
			sendLast(sent);
			return;
		}
		this.unsent = sent.content();
		this.channel.write(new DefaultHttpRequest(sent.protocolVersion(), sent.method(), sent.uri(), sent.headers()),
				this.channel.voidPromise());
		sendParts();
	}

	private void sendParts() {
		if (this.sending) {
			return;
		}
		this.sending = true;
		while (this.unsent.readableBytes() > BODY_PART_BYTES && this.channel.isWritable()) {
			this.channel.writeAndFlush(new DefaultHttpContent(this.unsent.readRetainedSlice(BODY_PART_BYTES)),
					this.channel.voidPromise());
		}
		this.sending = false;
		if (this.unsent.isReadable() && this.unsent.readableBytes() <= BODY_PART_BYTES && this.channel.isWritable()) {
			ByteBuf rest = this.unsent;
			this.unsent = Unpooled.EMPTY_BUFFER;
			sendLast(new DefaultLastHttpContent(rest));
		}
	}

	private void sendLast(Object last) {
		this.channel.writeAndFlush(last).addListener((done) -> {
			this.written = done.isSuccess();
			if (!done.isSuccess()) {
				fail("write failed");
			}
		});
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		sendParts();
	}

	/**
	 * Aborts the attempt by closing the connection, which makes the server cancel the
	 * request.
	 */
	void abort() {
		this.listener = null;
		this.unsent = Unpooled.EMPTY_BUFFER;
		this.reusable = false;
		this.channel.close();
	}

	void pauseReading(boolean paused) {
		this.channel.config().setAutoRead(!paused);
	}

	boolean isUsable(long now, long longestIdleNanos) {
		return this.channel.isActive() && now - this.idleSince < Math.min(this.idleNanos, longestIdleNanos);
	}

	void close() {
		this.channel.close();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			fail("no HTTP answer");
			return;
		}
		if (this.listener == null) {
			if (message instanceof HttpResponse head) {
				this.owner.observer().onHead(this.server, head, true);
				this.owner.log().unexpected(this, head);
			}
			this.reusable = false;
			this.channel.close();
			return;
		}
		if (message instanceof HttpResponse head) {
			head(head);
		}
		if (message instanceof HttpContent content && this.listener != null) {
			content(content);
		}
	}

	private void head(HttpResponse head) {
		this.inAnswer = true;
		String echoed = head.headers().get(this.names.request());
		boolean late = echoed != null && !echoed.equals(this.request);
		if (!late && !ResponseStatus.isValid(head.status().code())) {
			fail("status " + head.status().code());
			return;
		}
		this.owner.observer().onHead(this.server, head, late);
		if (this.responses > 0 && containsStatusLine(head)) {
			fail("two responses in one head");
			return;
		}
		this.skipping = late || head.status().code() < 200;
		if (this.skipping) {
			this.reusable = this.reusable && head.status().code() < 200;
			this.owner.log().skipped(this, head, this.request);
			skip(SKIPPED_HEAD_BYTES);
			return;
		}
		if (echoed == null && this.responses > 0) {
			// It may belong to an earlier request, such as a repeated rejection.
			fail("no request identifier on a reused connection");
			return;
		}
		this.lengthDelimited = ResponseFraming.of(head).isDelimited();
		this.reusable = this.reusable && this.lengthDelimited && HttpUtil.isKeepAlive(head);
		this.idleNanos = idleNanos(head);
		this.listener.onHead(head);
	}

	// A late copy may end within its head. The next status line is then read as the rest
	// of a line of the copy.
	private static boolean containsStatusLine(HttpResponse head) {
		if (STATUS_LINE.matcher(head.status().reasonPhrase()).find()) {
			return true;
		}
		for (Map.Entry<String, String> header : head.headers()) {
			if (STATUS_LINE.matcher(header.getValue()).find()) {
				return true;
			}
		}
		return false;
	}

	private static long idleNanos(HttpResponse head) {
		String keepAlive = head.headers().get("Keep-Alive");
		if (keepAlive == null) {
			return DEFAULT_IDLE_NANOS;
		}
		for (String part : keepAlive.split(",")) {
			String[] pair = part.trim().split("=");
			if (pair.length == 2 && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
				return (long) (Integer.parseInt(pair[1]) * IDLE_SHARE * 1e9);
			}
		}
		return DEFAULT_IDLE_NANOS;
	}

	private void content(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		if (this.skipping) {
			this.skipping = !last;
			this.inAnswer = !last;
			skip(content.content().readableBytes());
			return;
		}
		if (content.content().isReadable()) {
			this.listener.onBody(content.content());
		}
		if (last && this.listener != null) {
			complete();
		}
	}

	/**
	 * Closes the connection unless the present response, which nobody waits for, ends
	 * soon.
	 */
	void limitRest() {
		AttemptListener present = this.listener;
		this.channel.eventLoop().schedule(() -> {
			if (present != null && this.listener == present) {
				fail("response without end");
			}
		}, MAX_REST_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Skips bytes of a response that nobody waits for. The connection is closed if the
	 * server sends too many of them.
	 * @param bytes the number of bytes that were received
	 */
	void skip(int bytes) {
		this.skippedBytes += bytes;
		if (this.skippedBytes > MAX_SKIPPED_BYTES) {
			fail("too many bytes without a response");
		}
	}

	private void complete() {
		if (this.reset && !this.lengthDelimited) {
			fail("reset within an answer without length");
			return;
		}
		if (this.decoder.isClosedHere() && !this.lengthDelimited) {
			fail("closed here within an answer without length");
			return;
		}
		AttemptListener ended = this.listener;
		this.listener = null;
		this.unsent = Unpooled.EMPTY_BUFFER;
		this.inAnswer = false;
		this.responses++;
		boolean idle = this.reusable && this.written && this.channel.isActive() && !this.decoder.hasRemainder();
		if (idle) {
			// Reading is paused if the caller was slower than the server; the next
			// one is not.
			pauseReading(false);
			this.idleSince = System.nanoTime();
			this.owner.release(this);
		}
		else {
			this.channel.close();
		}
		ended.onComplete();
	}

	private void fail(String reason) {
		this.reusable = false;
		this.unsent = Unpooled.EMPTY_BUFFER;
		AttemptListener ended = this.listener;
		this.listener = null;
		this.channel.close();
		if (ended != null) {
			ended.onBroken(reason);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			endInput();
		}
	}

	private void endInput() {
		this.owner.remove(this);
		fail(this.inAnswer ? "closed within the answer" : "closed before an answer");
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		endInput();
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (cause instanceof IOException) {
			this.reset = true;
		}
		fail((cause instanceof IOException) ? "reset" : "unreadable: " + cause.getMessage());
	}

}
