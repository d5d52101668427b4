package org.comfreywall.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.DefaultEventLoopGroup;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServerConnection} without sockets.
 */
class ServerConnectionTests {

	private static final HeaderNames NAMES = GatewayFixture.NAMES;

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSeal: s\r\nContent-Length: 5\r\n\r\nhello";

	private final EventLoopGroup loop = new DefaultEventLoopGroup(1);

	private final ServerConnection connection = GatewayFixture.connection(this.loop);

	private final EmbeddedChannel channel = new EmbeddedChannel(this.connection.handlers());

	private boolean complete;

	@AfterEach
	void close() {
		this.channel.close();
		this.loop.shutdownGracefully();
	}

	/**
	 * The end of a response may be read together with the part that made its slow caller
	 * pause the connection. The next request on it has another caller.
	 */
	@Test
	void readsAgainAfterAResponseThatEndedWhilePaused() {
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set(NAMES.request(), "r1");
		this.connection.send(request, new PausingListener());
		this.channel.writeInbound(Unpooled.copiedBuffer(RESPONSE, StandardCharsets.UTF_8));
		assertThat(this.complete).isTrue();
		assertThat(this.channel.isOpen()).isTrue();
		assertThat(this.channel.config().isAutoRead()).isTrue();
	}

	/** A connection also closes by this process, such as when its event loop stops. */
	@Test
	void aConnectionThatThisProcessClosesDoesNotEndAResponseWithoutLength() {
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set(NAMES.request(), "r1");
		RecordingListener listener = new RecordingListener();
		this.connection.send(request, listener);
		this.channel
			.writeInbound(Unpooled.copiedBuffer(RESPONSE.replace("Content-Length: 5\r\n", ""), StandardCharsets.UTF_8));
		this.channel.close();
		assertThat(listener.ends).containsExactly("broken");
	}

	/** Records how a response ended. */
	private static final class RecordingListener implements AttemptListener {

		private final List<String> ends = new ArrayList<>();

		@Override
		public void onHead(HttpResponse head) {
			// Only the end matters here.
		}

		@Override
		public void onBody(ByteBuf part) {
			// Only the end matters here.
		}

		@Override
		public void onComplete() {
			this.ends.add("complete");
		}

		@Override
		public void onBroken(String reason) {
			this.ends.add("broken");
		}

	}

	/** Pauses the connection with the first part of the body. */
	private final class PausingListener implements AttemptListener {

		@Override
		public void onHead(HttpResponse head) {
			// Only the body matters here.
		}

		@Override
		public void onBody(ByteBuf part) {
			ServerConnectionTests.this.connection.pauseReading(true);
		}

		@Override
		public void onComplete() {
			ServerConnectionTests.this.complete = true;
		}

		@Override
		public void onBroken(String reason) {
			throw new AssertionError(reason);
		}

	}

}
