package org.comfreywall.daemon.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.comfreywall.common.stream.EventBoundary;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests failures, planned stops and drains on a fleet of daemon processes under load. The
 * tests share one fleet and run in a fixed order.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class FleetTests {

	private static final int BOOKINGS = 40;

	private static final int CHATS = 8;

	@TempDir
	private static Path folder;

	private static Fleet fleet;

	@BeforeAll
	static void start() throws Exception {
		fleet = Fleet.start(folder);
	}

	@AfterAll
	static void stop() throws Exception {
		fleet.close();
	}

	@Test
	@Order(6)
	void bookingsRunAtMostOnceWhenTheLeaderIsKilled() throws Exception {
		String leader = fleet.leader();
		Map<String, CompletableFuture<HttpResponse<String>>> first = sendBookings("leader");
		fleet.process(leader).kill();
		Map<String, HttpResponse<String>> answers = awaitAll(first);
		answers.forEach(FleetTests::assertOutcomeMatchesRuns);
		for (String key : answers.keySet()) {
			AtomicReference<String> last = new AtomicReference<>("");
			Fleet.await(() -> "the outcome of " + key + ", last " + last, () -> {
				HttpResponse<String> answer = repeatOnce(key);
				last.set(answer.body());
				return answer.statusCode() == 200;
			});
			assertThat(fleet.backend("booking-1").bookingCount(key)).as(key).isEqualTo(1);
		}
		fleet.restart(leader);
	}

	@Test
	@Order(5)
	void changeIsNotLostWhenPausedLeaderResumes() throws Exception {
		Fleet.await("a leader", () -> fleet.leader() != null);
		String paused = fleet.leader();
		long before = fleet.revision(paused);
		fleet.process(paused).signal("STOP");
		String other = paused.equals("control-1") ? "control-2" : "control-1";
		Fleet.await("another leader", () -> fleet.leader() != null && !fleet.leader().equals(paused));
		HttpResponse<String> accepted = fleet.change(other, before, "after-freeze", Fleet.configuration(400));
		assertThat(accepted.statusCode()).as(accepted.body()).isEqualTo(200);
		fleet.process(paused).signal("CONT");
		Fleet.await("the change at the paused instance", () -> fleet.revision(paused) == before + 1);
		HttpResponse<String> late = fleet.change(paused, before, "late", Fleet.configuration(300));
		assertThat(late.statusCode()).as(late.body()).isEqualTo(409);
		assertThat(late.body()).contains("after-freeze");
	}

	@Test
	@Order(1)
	void gracefulSidecarShutdownInterruptsNoStream() throws Exception {
		List<CompletableFuture<HttpResponse<String>>> streams = runningChats(60);
		assertThat(fleet.process("chat-1").terminate()).isTrue();
		for (CompletableFuture<HttpResponse<String>> stream : streams) {
			HttpResponse<String> answer = stream.get();
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			assertThat(answer.body()).endsWith("data: [DONE]\n\n");
		}
		fleet.restart("chat-1");
	}

	@Test
	@Order(2)
	void gracefulEntryShutdownInterruptsNoStream() throws Exception {
		List<CompletableFuture<HttpResponse<String>>> streams = runningChats(60);
		assertThat(fleet.process("entry-2").terminate()).isTrue();
		for (CompletableFuture<HttpResponse<String>> stream : streams) {
			HttpResponse<String> answer = stream.get();
			assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
			assertThat(answer.body()).endsWith("data: [DONE]\n\n");
		}
		fleet.restart("entry-2");
	}

	@Test
	@Order(3)
	void streamsCompleteOrReportErrorWhenSidecarIsKilled() throws Exception {
		List<CompletableFuture<HttpResponse<String>>> streams = runningChats(100);
		fleet.process("chat-2").kill();
		for (CompletableFuture<HttpResponse<String>> stream : streams) {
			assertTellsWhetherItIsWhole(stream);
		}
		fleet.restart("chat-2");
	}

	@Test
	@Order(4)
	void bookingsRunAtMostOnceWhenSidecarAndEntryAreKilled() throws Exception {
		Map<String, CompletableFuture<HttpResponse<String>>> first = sendBookings("joined");
		fleet.process("booking-1").kill();
		fleet.process("entry-2").kill();
		fleet.restart("booking-1");
		fleet.restart("entry-2");
		for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> booking : first.entrySet()) {
			HttpResponse<String> answer = booking.getValue().exceptionally((ex) -> null).get();
			if (answer != null) {
				assertOutcomeMatchesRuns(booking.getKey(), answer);
			}
		}
		first.keySet()
			.forEach((key) -> assertThat(repeatOnce(key).headers().firstValue("Comfreywall-Request-Id")).isPresent());
		first.keySet()
			.forEach((key) -> assertThat(fleet.backend("booking-1").bookingCount(key)).as(key).isLessThanOrEqualTo(1));
	}

	@Test
	@Order(7)
	void drainedBackendServerReceivesNoNewRequests() throws Exception {
		Fleet.await("a member to drain", () -> fleet.drain("chat-1") == 202);
		Fleet.await("the drain at the entry", () -> fleet.status("entry-1").encode().contains("leaving"));
		List<CompletableFuture<HttpResponse<String>>> streams = runningChats(20);
		assertThat(fleet.backend("chat-1").runningStreams()).isZero();
		for (CompletableFuture<HttpResponse<String>> stream : streams) {
			assertThat(stream.get().statusCode()).isEqualTo(200);
		}
	}

	private static void assertTellsWhetherItIsWhole(CompletableFuture<HttpResponse<String>> stream) throws Exception {
		try {
			String body = stream.get().body();
			boolean whole = body.endsWith("data: [DONE]\n\n");
			boolean refused = body.startsWith("{") && body.contains("\"outcome\"");
			assertThat(whole ^ (refused || endsWithErrorEvent(body))).as(body).isTrue();
		}
		catch (ExecutionException ex) {
			assertThat(ex).hasCauseInstanceOf(CutException.class);
			String received = ((CutException) ex.getCause()).received;
			assertThat(isWithinEvent(received)).as(received).isTrue();
		}
	}

	private static boolean endsWithErrorEvent(String body) {
		int start = body.lastIndexOf("event: error\n");
		return start >= 0 && !isWithinEvent(body.substring(0, start))
				&& body.substring(start).matches("event: error\ndata: .+\n\n");
	}

	private static boolean isWithinEvent(String stream) {
		EventBoundary boundary = new EventBoundary();
		for (byte next : stream.getBytes(StandardCharsets.UTF_8)) {
			boundary.accept(next);
		}
		return boundary.isBrokenOff(true);
	}

	private static HttpResponse<String> repeatOnce(String key) {
		try {
			return fleet.send(fleet.post("entry-1", "/booking/pickups", key, "{}"));
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Map<String, CompletableFuture<HttpResponse<String>>> sendBookings(String prefix) {
		Map<String, CompletableFuture<HttpResponse<String>>> sent = new TreeMap<>();
		for (int i = 0; i < BOOKINGS; i++) {
			String key = prefix + "-" + i;
			sent.put(key, sendBooking((i % 2 == 0) ? "entry-1" : "entry-2", key));
		}
		return sent;
	}

	private static CompletableFuture<HttpResponse<String>> sendBooking(String entry, String key) {
		return fleet.client()
			.sendAsync(fleet.post(entry, "/booking/pickups", key, "{}"), HttpResponse.BodyHandlers.ofString());
	}

	private static Map<String, HttpResponse<String>> awaitAll(
			Map<String, CompletableFuture<HttpResponse<String>>> sent) {
		Map<String, HttpResponse<String>> answers = new TreeMap<>();
		sent.forEach((key, answer) -> answers.put(key, answer.join()));
		return answers;
	}

	private static void assertOutcomeMatchesRuns(String key, HttpResponse<String> answer) {
		String outcome = answer.headers()
			.firstValue("Comfreywall-Outcome")
			.orElse((answer.statusCode() == 200) ? "COMPLETED" : "UNKNOWN");
		int runs = fleet.backend("booking-1").bookingCount(key);
		if (outcome.equals("NOT_RUN")) {
			assertThat(runs).as(key + " " + answer.body()).isZero();
		}
		if (outcome.equals("COMPLETED")) {
			assertThat(runs).as(key + " " + answer.body()).isEqualTo(1);
		}
	}

	/**
	 * Starts chat completions and returns once all of them run. The backend servers pause
	 * them until then: an entry's first request can take seconds on a busy machine, in
	 * which the other streams would end.
	 */
	private static List<CompletableFuture<HttpResponse<String>>> runningChats(int tokens) throws InterruptedException {
		fleet.pauseStreams();
		try {
			List<CompletableFuture<HttpResponse<String>>> streams = chats(tokens);
			Fleet.await(() -> "running streams, " + fleet.runningStreams() + " now",
					() -> fleet.runningStreams() >= CHATS);
			return streams;
		}
		finally {
			fleet.resumeStreams();
		}
	}

	private static List<CompletableFuture<HttpResponse<String>>> chats(int tokens) {
		List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
		for (int i = 0; i < CHATS; i++) {
			String body = "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":" + tokens + ",\"user\":\"" + i + "\"}";
			streams.add(sendUntilAdmitted((i % 2 == 0) ? "entry-1" : "entry-2", "chat-" + i, body));
		}
		return streams;
	}

	private static CompletableFuture<HttpResponse<String>> sendUntilAdmitted(String entry, String key, String body) {
		ByteArrayOutputStream received = new ByteArrayOutputStream();
		return fleet.client()
			.sendAsync(fleet.post(entry, "/v1/chat/completions", key, body), (head) -> collect(received))
			.exceptionallyCompose((ex) -> CompletableFuture
				.failedFuture(new CutException(received.toString(StandardCharsets.UTF_8), ex)))
			.thenCompose((answer) -> (answer.statusCode() != 429) ? CompletableFuture.completedFuture(answer)
					: resendAfterDelay(entry, key, body));
	}

	private static HttpResponse.BodySubscriber<String> collect(ByteArrayOutputStream received) {
		return HttpResponse.BodySubscribers.mapping(
				HttpResponse.BodySubscribers.ofByteArrayConsumer((part) -> part.ifPresent(received::writeBytes)),
				(end) -> received.toString(StandardCharsets.UTF_8));
	}

	private static CompletableFuture<HttpResponse<String>> resendAfterDelay(String entry, String key, String body) {
		return CompletableFuture.supplyAsync(() -> body, CompletableFuture.delayedExecutor(100, TimeUnit.MILLISECONDS))
			.thenCompose((same) -> sendUntilAdmitted(entry, key, same));
	}

	/** A response whose connection was closed within it. */
	private static final class CutException extends IOException {

		private final String received;

		CutException(String received, Throwable cause) {
			super("cut after: " + received, cause);
			this.received = received;
		}

	}

}
