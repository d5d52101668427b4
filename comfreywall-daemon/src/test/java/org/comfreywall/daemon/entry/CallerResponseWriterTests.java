package org.comfreywall.daemon.entry;

import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.internal.subscriptions.BooleanSubscription;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests how a response that fails reaches its caller.
 */
@Timeout(20)
class CallerResponseWriterTests {

	private static final String LAST_CHUNK = "\r\n0\r\n";

	private Vertx vertx;

	@BeforeEach
	void open() {
		this.vertx = Vertx.vertx();
	}

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	// Returns the port of a server whose responses fail after the parts.
	private int listen(String contentType, String... parts) throws Exception {
		HttpServer server = this.vertx.createHttpServer()
			.requestHandler((request) -> writeAndFail(request.response(), contentType, parts))
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.get(5, TimeUnit.SECONDS);
		return server.actualPort();
	}

	// Returns what the caller receives, with its chunk sizes.
	private String failAfter(String contentType, String... parts) throws Exception {
		try (Socket socket = new Socket("127.0.0.1", listen(contentType, parts))) {
			socket.getOutputStream()
				.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.UTF_8));
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private static void writeAndFail(HttpServerResponse response, String contentType, String... parts) {
		CallerResponseWriter writer = new CallerResponseWriter(request(), response, (credit) -> {
		}, () -> {
		});
		writer.onSubscribe(new BooleanSubscription());
		writer.onNext(new AnswerHead(200, contentType));
		for (String part : parts) {
			writer.onNext(new AnswerChunk(Bytes.ofText(part)));
		}
		writer.onError(new RequestFailedException(Outcome.UNKNOWN,
				OperationError.local(ErrorCode.BACKEND_ERROR, Step.RUN, "broken"), Duration.ZERO));
	}

	private static CallerRequest request() {
		return new CallerRequest(RequestId.of("request-1"), AccountId.of("account"), ServiceId.of("chat"), "POST", "/",
				"", Bytes.ofText(""), true, false, Optional.empty(), null, Duration.ofSeconds(1), 0, 0);
	}

	@Nested
	class EventStreams {

		@ParameterizedTest
		@ValueSource(strings = { "data: par", "data: whole line\n", ": comm", "id: 2\r\ndata: b\r\n\r" })
		void thatFailWithinAnEventAreCutThere(String partial) throws Exception {
			String received = failAfter("text/event-stream", "id: 1\ndata: a\n\n" + partial);
			assertThat(received).endsWith(partial + "\r\n").doesNotContain("event: error", LAST_CHUNK);
		}

		@Test
		void areFollowedAcrossTheirParts() throws Exception {
			String received = failAfter("text/event-stream; charset=utf-8", "data: a\n\nda", "ta: b", "\n");
			assertThat(received).doesNotContain("event: error", LAST_CHUNK);
		}

		@ParameterizedTest
		@ValueSource(strings = { "data: a\n\n", "data: a\r\n\r\n", "data: a\n\n: ping\n", "\n" })
		void thatFailBetweenEventsEndWithAnErrorEvent(String whole) throws Exception {
			String received = failAfter("text/event-stream", whole);
			assertThat(received).containsPattern("\r\nevent: error\ndata: \\{.*\\}\n\n\r\n0\r\n")
				.contains(whole + "\r\n")
				.contains(CallerResponseWriter.OUTCOME_HEADER + ": UNKNOWN");
		}

		@Test
		void thatFailBeforeTheirFirstEventEndWithAnErrorEvent() throws Exception {
			assertThat(failAfter("text/event-stream")).contains("\r\nevent: error\n", LAST_CHUNK);
		}

	}

	@Nested
	class OverHttp2 {

		private HttpResponse<InputStream> fetch(String part) throws Exception {
			int port = listen("text/event-stream", part);
			HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port))
				.version(HttpClient.Version.HTTP_2)
				.build();
			return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofInputStream());
		}

		@Test
		void streamsThatFailWithinAnEventAreReset() throws Exception {
			HttpResponse<InputStream> response = fetch("data: a\n\ndata: par");
			assertThat(response.version()).isEqualTo(HttpClient.Version.HTTP_2);
			assertThatIOException().isThrownBy(() -> response.body().readAllBytes());
		}

		@Test
		void streamsThatFailBetweenEventsEndWithAnErrorEvent() throws Exception {
			HttpResponse<InputStream> response = fetch("data: a\n\n");
			assertThat(response.version()).isEqualTo(HttpClient.Version.HTTP_2);
			assertThat(new String(response.body().readAllBytes(), StandardCharsets.UTF_8))
				.startsWith("data: a\n\nevent: error\n");
		}

	}

	@Nested
	class OtherResponses {

		@Test
		void areCutWhereTheyFail() throws Exception {
			assertThat(failAfter("text/plain", "a\n\n")).endsWith("a\n\n\r\n").doesNotContain("event:", LAST_CHUNK);
		}

	}

}
