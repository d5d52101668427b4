package org.comfreywall.gateway.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Responses with neither a length nor chunks, which end with their connection. That end
 * also comes from a server that stopped, so it proves nothing.
 */
class UnmarkedEndTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: @id\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n";

	private static final String CHUNKED = "HTTP/1.1 200 OK\r\nRequest-Id: @id\r\nSeal: s\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private static final String JSON = HEAD.replace("text/event-stream", "application/json");

	private static final String FIRST = "id: 1\ndata: a\n\n";

	private static final String SECOND = "id: 2\ndata: b\n\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final int STREAMS = 30;

	private GatewayFixture gateway;

	private ScriptedServer server;

	private ScriptedServer other;

	@BeforeEach
	void open() throws Exception {
		this.gateway = new GatewayFixture();
		this.server = this.gateway.register(new ScriptedServer());
		this.other = this.gateway.register(this.server.withSharedResponses());
	}

	@AfterEach
	void close() throws Exception {
		this.gateway.close();
	}

	private static String chunk(String content) {
		return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
	}

	private void answer(String... responses) throws Exception {
		List.of(responses).forEach(this.server::answer);
		this.gateway.announce(this.server, "s1", 1);
		this.gateway.announce(this.other, "s2", 1);
	}

	private static void send(Socket socket, String version, String path) throws IOException {
		String request = "POST " + path + " " + version
				+ "\r\nHost: host\r\nRequest-Id: r1\r\nKey: secret\r\nWait-Ms: 3000\r\nContent-Length: 4\r\n\r\nbody";
		socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
	}

	/** The caller can tell no more of the end than the server has said. */
	@Nested
	class PassedOn {

		@ParameterizedTest
		@ValueSource(strings = { "/plain/", "/stream/" })
		void aStreamWithoutAMarkedEndGetsNoLastChunk(String path) throws Exception {
			answer(HEAD + FIRST + SECOND + ScriptedServer.CLOSE, HEAD + ScriptedServer.CLOSE);
			String response = UnmarkedEndTests.this.gateway.call(path, "r1");
			assertThat(response.toLowerCase()).contains("connection: close").doesNotContain("transfer-encoding");
			assertThat(RawResponse.body(response)).isEqualTo(FIRST + SECOND);
		}

		@ParameterizedTest
		@ValueSource(strings = { "/plain/", "/once/", "/safe/" })
		void aTextWithoutAMarkedEndGetsNoLength(String path) throws Exception {
			answer(JSON + "{\"a\":1" + ScriptedServer.CLOSE);
			String response = UnmarkedEndTests.this.gateway.call(path, "r1");
			assertThat(response.toLowerCase()).contains("connection: close")
				.doesNotContain("transfer-encoding", "content-length");
			assertThat(RawResponse.body(response)).isEqualTo("{\"a\":1");
		}

		@Test
		void aCallerThatMeansToKeepItsConnectionSeesItEnd() throws Exception {
			answer(HEAD + FIRST + ScriptedServer.CLOSE, HEAD + ScriptedServer.CLOSE);
			try (Socket socket = UnmarkedEndTests.this.gateway.connect()) {
				send(socket, "HTTP/1.1", "/plain/");
				String response = RawResponse.read(socket);
				assertThat(RawResponse.body(response)).isEqualTo(FIRST);
			}
		}

		@Test
		void aStreamThatIsResetEndsWithAReset() throws Exception {
			answer(HEAD + FIRST + ScriptedServer.PAUSE + ScriptedServer.RESET);
			assertThat(UnmarkedEndTests.this.gateway.call("/plain/", "r1")).contains(FIRST)
				.endsWith(ScriptedServer.RESET);
		}

		@Test
		void aStreamThatEndsWithinAnEventEndsWithAReset() throws Exception {
			answer(HEAD + FIRST + "id: 2\nda" + ScriptedServer.CLOSE);
			assertThat(UnmarkedEndTests.this.gateway.call("/plain/", "r1")).contains(FIRST)
				.endsWith(ScriptedServer.RESET);
		}

	}

	/** A stream that another server resumes after its last event. */
	@Nested
	class SkippedEvents {

		private static final String THIRD = "id: 3\ndata: c\n\n";

		private static final String FOURTH = "id: 4\ndata: d\n\n";

		private String resume(String begun, String rest) throws Exception {
			answer(CHUNKED + chunk(begun) + ScriptedServer.CLOSE, CHUNKED + chunk(rest) + LAST_CHUNK);
			return UnmarkedEndTests.this.gateway.call("/stream/", "r1");
		}

		@ParameterizedTest
		@ValueSource(strings = { FOURTH, "id: 40\ndata: d\n\n" })
		void aResumedStreamThatLeavesOutEventsDoesNotLookComplete(String rest) throws Exception {
			assertThat(resume(FIRST + SECOND, rest)).contains(SECOND)
				.doesNotContain("data: d")
				.doesNotMatch(RawResponse::looksComplete);
		}

		@Test
		void aResumedStreamThatGoesOnIsComplete() throws Exception {
			String response = resume(FIRST + SECOND, SECOND + THIRD + FOURTH);
			assertThat(response).matches(RawResponse::looksComplete);
			assertThat(RawResponse.body(response)).isEqualTo(FIRST + SECOND + THIRD + FOURTH);
		}

		@ParameterizedTest
		@ValueSource(strings = { FIRST, FIRST + THIRD, "id: 10\ndata: a\n\nid: 20\ndata: b\n\n" })
		void identifiersThatDoNotCountMayJump(String begun) throws Exception {
			assertThat(resume(begun, "id: 70\ndata: e\n\n")).contains("data: e").matches(RawResponse::looksComplete);
		}

	}

	/** Event streams on routes, or with a status, that has no streams. */
	@Nested
	class UnexpectedStreams {

		private static final String CUT = FIRST + "id: 2\nda" + ScriptedServer.CLOSE;

		@Test
		void aStreamThatEndsWithinAnEventIsNotReportedAsComplete() throws Exception {
			answer(HEAD + CUT);
			assertThat(UnmarkedEndTests.this.gateway.call("/once/", "r1")).startsWith("HTTP/1.1 502");
		}

		@Test
		void anIdempotentRequestGetsTheWholeStreamOfAnotherServer() throws Exception {
			answer(HEAD + CUT, HEAD + FIRST + SECOND + ScriptedServer.CLOSE);
			assertThat(UnmarkedEndTests.this.gateway.call("/safe/", "r1")).matches(RawResponse::looksComplete)
				.endsWith(FIRST + SECOND);
		}

		@ParameterizedTest
		@ValueSource(strings = { "201 Created", "404 Not Found" })
		void anotherStatusDoesNotMakeACutStreamComplete(String status) throws Exception {
			answer(HEAD.replace("200 OK", status) + CUT);
			assertThat(UnmarkedEndTests.this.gateway.call("/plain/", "r1")).startsWith("HTTP/1.1 502");
		}

		@Test
		void aFailureWithALengthMayBeAnyText() throws Exception {
			answer(HEAD.replace("200 OK", "404 Not Found").replace("Seal", "Content-Length: 4\r\nSeal") + "gone");
			assertThat(UnmarkedEndTests.this.gateway.call("/plain/", "r1")).startsWith("HTTP/1.1 404").endsWith("gone");
		}

	}

	/** Callers that know no chunks. */
	@Nested
	class OldCallers {

		@Test
		void aStreamHasNoChunks() throws Exception {
			answer(CHUNKED + chunk(FIRST) + LAST_CHUNK);
			try (Socket socket = UnmarkedEndTests.this.gateway.connect()) {
				send(socket, "HTTP/1.0", "/plain/");
				String response = RawResponse.read(socket);
				assertThat(response.toLowerCase()).doesNotContain("transfer-encoding");
				assertThat(RawResponse.body(response)).isEqualTo(FIRST);
			}
		}

		@Test
		void aStreamThatBreaksOffEndsWithAReset() throws Exception {
			answer(CHUNKED + chunk(FIRST) + ScriptedServer.CLOSE);
			try (Socket socket = UnmarkedEndTests.this.gateway.connect()) {
				send(socket, "HTTP/1.0", "/plain/");
				assertThat(RawResponse.read(socket)).contains(FIRST).endsWith(ScriptedServer.RESET);
			}
		}

	}

	/** Another server knows whether events are left after the last one. */
	@Nested
	class Resumable {

		@Test
		void aStreamThatStoppedBetweenTwoEventsIsResumed() throws Exception {
			answer(HEAD + FIRST + ScriptedServer.CLOSE, CHUNKED + chunk(SECOND) + LAST_CHUNK);
			assertThat(RawResponse.body(UnmarkedEndTests.this.gateway.call("/stream/", "r1")))
				.isEqualTo(FIRST + SECOND);
			assertThat(requests()).filteredOn((request) -> request.contains("Last-Event-Id: 1")).hasSize(1);
		}

		@Test
		void aStreamThatHadEndedHasNoFurtherEvents() throws Exception {
			answer(HEAD + FIRST + ScriptedServer.CLOSE, CHUNKED + LAST_CHUNK);
			assertThat(RawResponse.body(UnmarkedEndTests.this.gateway.call("/stream/", "r1"))).isEqualTo(FIRST);
		}

		@Test
		void aResumedStreamWithoutAMarkedEndGetsNoLastChunk() throws Exception {
			answer(CHUNKED + chunk(FIRST) + ScriptedServer.CLOSE, HEAD + SECOND + ScriptedServer.CLOSE);
			assertThat(UnmarkedEndTests.this.gateway.call("/stream/", "r1")).contains(FIRST, SECOND)
				.doesNotEndWith(LAST_CHUNK);
		}

		@ParameterizedTest
		@ValueSource(strings = { "204 No Content", "404 Not Found", "400 Bad Request" })
		void aServerThatHasNothingToAddLeavesTheEndAsItCame(String status) throws Exception {
			answer(HEAD + FIRST + ScriptedServer.CLOSE,
					"HTTP/1.1 " + status + "\r\nRequest-Id: @id\r\nContent-Length: 0\r\n\r\n");
			String response = UnmarkedEndTests.this.gateway.call("/stream/", "r1");
			assertThat(response).matches(RawResponse::looksComplete).doesNotContain(status).endsWith(FIRST);
		}

		@Test
		void aServerThatSendsAllEventsAgainAddsNothing() throws Exception {
			answer(HEAD + FIRST + ScriptedServer.CLOSE, HEAD + FIRST + ScriptedServer.CLOSE);
			assertThat(UnmarkedEndTests.this.gateway.call("/stream/", "r1")).matches(RawResponse::looksComplete)
				.endsWith(FIRST);
		}

		@ParameterizedTest
		@ValueSource(strings = { ScriptedServer.CLOSE, ScriptedServer.RESET, ScriptedServer.SILENT,
				"HTTP/1.1 500 Error\r\nRequest-Id: @id\r\nSeal: e\r\nContent-Length: 0\r\n\r\n",
				HEAD + SECOND + ScriptedServer.CLOSE, CHUNKED + "5\r\nid: 2" + ScriptedServer.CLOSE })
		void aServerThatFailsAsWellGivesReasonToDoubtTheEnd(String answer) throws Exception {
			answer(HEAD + FIRST + ScriptedServer.CLOSE, answer);
			assertThat(UnmarkedEndTests.this.gateway.call("/stream/", "r1")).contains(FIRST)
				.endsWith(ScriptedServer.RESET);
		}

		@Test
		void aServiceThatNeverMarksItsEndsIsNotAskedEachTime() throws Exception {
			for (int i = 0; i < STREAMS; i++) {
				answer(HEAD + FIRST + ScriptedServer.CLOSE, HEAD + FIRST + ScriptedServer.CLOSE);
			}
			for (int i = 0; i < STREAMS; i++) {
				assertThat(UnmarkedEndTests.this.gateway.call("/stream/", "r" + i)).matches(RawResponse::looksComplete)
					.endsWith(FIRST);
			}
			assertThat(requests()).filteredOn((request) -> request.contains("Last-Event-Id: 1"))
				.hasSizeBetween(1, STREAMS / 3);
		}

		private List<String> requests() {
			return List.of(UnmarkedEndTests.this.server, UnmarkedEndTests.this.other)
				.stream()
				.flatMap((each) -> each.requests().stream())
				.toList();
		}

	}

}
