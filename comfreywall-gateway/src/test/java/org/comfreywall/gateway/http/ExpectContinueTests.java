package org.comfreywall.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.comfreywall.gateway.config.HttpLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests requests that wait for {@code 100 Continue} before they send their body.
 */
@Timeout(20)
class ExpectContinueTests {

	private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

	private static final String EXPECT = "Expect: 100-continue\r\n";

	private static final String CLOSE = "Connection: close\r\n";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: @id\r\nSeal: s\r\nContent-Length: 5\r\n\r\n";

	private static final String WHOLE = HEAD + "hello";

	private static final String EVENTS = "HTTP/1.1 200 OK\r\nRequest-Id: @id\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private static final String FIRST_EVENT = "f\r\nid: 1\ndata: a\n\n\r\n";

	private static final String SECOND_EVENT = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

	private static final Duration IDLE_TIMEOUT = Duration.ofMillis(500);

	private GatewayFixture fixture;

	private ScriptedServer server;

	private Socket caller;

	@BeforeEach
	void open() throws Exception {
		this.fixture = new GatewayFixture(new HttpLimits(HttpLimits.DEFAULT.maxHeaderBytes(),
				HttpLimits.DEFAULT.maxBodyBytes(), HttpLimits.DEFAULT.headerTimeout(), IDLE_TIMEOUT));
		this.server = this.fixture.register(new ScriptedServer());
		this.fixture.announce(this.server, "s1", 1);
		this.caller = this.fixture.register(this.fixture.connect());
		this.caller.setSoTimeout(6000);
	}

	@AfterEach
	void close() throws Exception {
		this.fixture.close();
	}

	private static String head(String method, String path, String... headers) {
		return method + " " + path + " HTTP/1.1\r\nHost: host\r\nRequest-Id: r" + path
				+ "\r\nKey: secret\r\nWait-Ms: 4000\r\n" + String.join("", headers) + "\r\n";
	}

	private static String post(String path, String... headers) {
		return head("POST", path, "Content-Length: 4\r\n", String.join("", headers));
	}

	private void send(String bytes) throws IOException {
		this.caller.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
	}

	private String receiveAll() throws IOException {
		return new String(this.caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

	private String receiveUntil(String end) throws IOException {
		InputStream in = this.caller.getInputStream();
		StringBuilder received = new StringBuilder();
		while (!received.toString().endsWith(end)) {
			int next = in.read();
			assertThat(next).as(received.toString()).isNotNegative();
			received.append((char) next);
		}
		return received.toString();
	}

	private void assertNothingArrives() throws IOException {
		this.caller.setSoTimeout(200);
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> this.caller.getInputStream().read());
		this.caller.setSoTimeout(6000);
	}

	@Nested
	class OnAnIdleConnection {

		@Test
		void areToldToContinueAtOnce() throws Exception {
			ExpectContinueTests.this.server.answer(WHOLE).answer(WHOLE);
			for (String path : List.of("/safe/1", "/safe/2")) {
				send(post(path, EXPECT));
				assertThat(receiveUntil("\r\n\r\n")).isEqualTo(CONTINUE);
				send("body");
				assertThat(receiveUntil("hello")).startsWith("HTTP/1.1 200");
			}
		}

		@Test
		void keepTheirBodyBeforeAHeadRequest() throws Exception {
			ExpectContinueTests.this.server.answer(ScriptedServer.PAUSE + WHOLE).answer(HEAD);
			send(post("/safe/1", EXPECT) + "body" + head("HEAD", "/safe/2", CLOSE));
			String received = receiveAll();
			assertThat(received).startsWith(CONTINUE + "HTTP/1.1 200").contains("\r\n\r\nhelloHTTP/1.1 200");
			assertThat(received).endsWith("\r\n\r\n");
		}

	}

	@Nested
	class WithinAnotherExchange {

		@Test
		void areToldToContinueOnceItHasEnded() throws Exception {
			ExpectContinueTests.this.server.answer(EVENTS + FIRST_EVENT + ScriptedServer.WAIT + SECOND_EVENT)
				.answer(WHOLE);
			send(post("/plain/1") + "body");
			assertThat(receiveUntil(FIRST_EVENT)).startsWith("HTTP/1.1 200");
			send(post("/safe/2", EXPECT, CLOSE));
			assertNothingArrives();
			ExpectContinueTests.this.server.resume();
			assertThat(receiveUntil(CONTINUE)).isEqualTo(SECOND_EVENT + CONTINUE);
			send("body");
			assertThat(receiveAll()).startsWith("HTTP/1.1 200").endsWith("hello");
		}

		@Test
		void areToldToContinueOnceAllEarlierOnesHaveEnded() throws Exception {
			ExpectContinueTests.this.server.answer(ScriptedServer.PAUSE + WHOLE).answer(ScriptedServer.PAUSE + WHOLE);
			send(post("/safe/1") + "body" + post("/safe/2") + "body" + post("/safe/3", EXPECT));
			String received = receiveUntil(CONTINUE);
			assertThat(received.split("hello", -1)).hasSize(3);
			assertThat(received).endsWith("hello" + CONTINUE);
		}

		@Test
		void haveTheWholeIdleTimeoutForTheirBodyFromThen() throws Exception {
			ExpectContinueTests.this.server.answer(EVENTS + FIRST_EVENT + ScriptedServer.WAIT + SECOND_EVENT)
				.answer(WHOLE);
			send(post("/plain/1") + "body" + post("/safe/2", EXPECT, CLOSE));
			receiveUntil(FIRST_EVENT);
			TimeUnit.MILLISECONDS.sleep(2 * IDLE_TIMEOUT.toMillis());
			ExpectContinueTests.this.server.resume();
			receiveUntil(CONTINUE);
			send("bo");
			TimeUnit.MILLISECONDS.sleep(IDLE_TIMEOUT.toMillis() / 5);
			send("dy");
			assertThat(receiveAll()).startsWith("HTTP/1.1 200").endsWith("hello");
		}

		@Test
		void areNotToldToContinueIfTheirBodyHasArrived() throws Exception {
			ExpectContinueTests.this.server.answer(ScriptedServer.PAUSE + WHOLE).answer(WHOLE);
			send(post("/safe/1") + "body" + post("/safe/2", EXPECT, CLOSE) + "body");
			assertThat(receiveAll()).endsWith("hello").contains("helloHTTP/1.1 200").doesNotContain("100 Continue");
		}

		@Test
		void doNotGiveTheResponseToAHeadRequestABody() throws Exception {
			String stream = EVENTS.replace("text/event-stream", "text/plain");
			ExpectContinueTests.this.server.answer(ScriptedServer.PAUSE + stream).answer(WHOLE);
			send(head("HEAD", "/plain/1") + post("/safe/2", EXPECT, CLOSE) + "body");
			assertThat(receiveAll()).endsWith("hello").doesNotContain("0\r\n\r\n");
		}

	}

}
