package org.comfreywall.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

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
 * Randomised runs of {@link ServerConnection} with a server that sends copies of its
 * responses late, whole or cut, in segments of any size.
 */
class LateResponsesRandomRunTests {

	private static final HeaderNames NAMES = GatewayFixture.NAMES;

	private static final int SEEDS = 3000;

	private static final int REQUESTS = 5;

	private final EventLoopGroup loop = new DefaultEventLoopGroup(1);

	private int complete;

	private int reused;

	@AfterEach
	void close() {
		this.loop.shutdownGracefully();
	}

	@Test
	void aCompleteResponseIsTheOneToItsRequest() {
		for (int seed = 0; seed < SEEDS; seed++) {
			play(seed);
		}
		assertThat(this.complete).isGreaterThan(SEEDS);
		assertThat(this.reused).isGreaterThan(SEEDS / 10);
	}

	private void play(int seed) {
		Random random = new Random(seed);
		ServerConnection connection = GatewayFixture.connection(this.loop);
		EmbeddedChannel channel = new EmbeddedChannel(connection.handlers());
		List<Reply> sent = new ArrayList<>();
		for (int i = 0; i < REQUESTS && channel.isOpen(); i++) {
			Reply own = new Reply(i, random);
			Recorder recorder = new Recorder();
			connection.send(request(i), recorder);
			deliver(channel, withCopies(own, sent, random), random);
			sent.add(own);
			if (recorder.complete) {
				this.complete++;
				this.reused += (i > 0) ? 1 : 0;
				assertThat(recorder.received()).as("seed %d, request %d", seed, i).isEqualTo(own.expected());
			}
			else {
				connection.abort();
			}
		}
		channel.finishAndReleaseAll();
	}

	private static DefaultFullHttpRequest request(int number) {
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
		request.headers().set(NAMES.request(), "r" + number);
		return request;
	}

	private static String withCopies(Reply own, List<Reply> sent, Random random) {
		String before = (!sent.isEmpty() && random.nextInt(4) > 0) ? copy(sent, random) : "";
		String after = (random.nextInt(6) == 0) ? copy(List.of(own), random) : "";
		return before + own.bytes + after;
	}

	private static String copy(List<Reply> sent, Random random) {
		String all = sent.get(random.nextInt(sent.size())).bytes;
		return random.nextBoolean() ? all : all.substring(0, 1 + random.nextInt(all.length() - 1));
	}

	private static void deliver(EmbeddedChannel channel, String bytes, Random random) {
		int start = 0;
		int most = 1 + random.nextInt(300);
		while (start < bytes.length() && channel.isOpen()) {
			int end = Math.min(bytes.length(), start + 1 + random.nextInt(most));
			channel.writeInbound(Unpooled.copiedBuffer(bytes.substring(start, end), StandardCharsets.UTF_8));
			start = end;
		}
	}

	/** A response, in chunks or with a length and with its headers in any order. */
	private static final class Reply {

		private final int status;

		private final String seal;

		private final String body;

		private final String bytes;

		Reply(int number, Random random) {
			this.status = List.of(200, 201, 404, 500, 203).get(number);
			this.seal = "s" + number;
			this.body = ("body" + number + " ").repeat(random.nextInt(12));
			List<String> headers = new ArrayList<>(List.of("Request-Id: r" + number, "Seal: " + this.seal,
					"Keep-Alive: timeout=5", "Content-Type: text/plain; charset=utf-8"));
			boolean chunked = random.nextBoolean();
			headers.add(random.nextInt(headers.size() + 1),
					chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + this.body.length());
			Collections.shuffle(headers, random);
			this.bytes = "HTTP/1.1 " + this.status + " Reason\r\n" + String.join("\r\n", headers) + "\r\n\r\n"
					+ (chunked ? chunks(random) : this.body);
		}

		private String expected() {
			return this.status + " " + this.seal + " " + this.body;
		}

		private String chunks(Random random) {
			StringBuilder out = new StringBuilder();
			int start = 0;
			while (start < this.body.length()) {
				int end = Math.min(this.body.length(), start + 1 + random.nextInt(20));
				out.append(Integer.toHexString(end - start))
					.append((random.nextInt(4) == 0) ? ";e=x" : "")
					.append("\r\n")
					.append(this.body, start, end)
					.append("\r\n");
				start = end;
			}
			return out.append("0\r\n")
				.append((random.nextInt(4) == 0) ? "Trailer: t\r\n" : "")
				.append("\r\n")
				.toString();
		}

	}

	/** Records the response that an attempt receives. */
	private static final class Recorder implements AttemptListener {

		private int status;

		private String seal;

		private final StringBuilder body = new StringBuilder();

		private boolean complete;

		private String received() {
			return this.status + " " + this.seal + " " + this.body;
		}

		@Override
		public void onHead(HttpResponse head) {
			this.status = head.status().code();
			this.seal = head.headers().get("Seal");
		}

		@Override
		public void onBody(ByteBuf part) {
			this.body.append(part.toString(StandardCharsets.UTF_8));
		}

		@Override
		public void onComplete() {
			this.complete = true;
		}

		@Override
		public void onBroken(String reason) {
			// A response may be lost, but not mixed.
		}

	}

}
