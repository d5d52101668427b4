package org.comfreywall.daemon.standin;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.util.Preconditions;

/**
 * Fake backend server for tests and trials.
 * <p>
 * A chat completion streams {@code max_tokens} words at a fixed interval. Any other path
 * is a booking; the server counts the bookings of each idempotency key, so that a test
 * can detect a request that ran twice.
 */
public final class FakeBackendServer implements AutoCloseable {

	private static final int DEFAULT_TOKENS = 8;

	private final Vertx vertx;

	private final long tokenMillis;

	private final HttpServer server;

	private final Map<String, AtomicInteger> bookingCount = new ConcurrentHashMap<>();

	private final AtomicLong runningStreams = new AtomicLong();

	private volatile boolean paused;

	/**
	 * Starts the server on loopback.
	 * @param vertx runs the server
	 * @param port the port to listen on; 0 selects a free port
	 * @param tokenInterval the time between tokens, at least 1 ms
	 */
	public FakeBackendServer(Vertx vertx, int port, Duration tokenInterval) {
		this.vertx = Preconditions.notNull(vertx, "vertx");
		this.tokenMillis = Math.max(1, Preconditions.notNull(tokenInterval, "tokenInterval").toMillis());
		this.server = vertx.createHttpServer().requestHandler(this::accept).listen(port, "127.0.0.1").await();
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return this.server.actualPort();
	}

	/**
	 * Returns the number of times that a booking ran.
	 * @param key the booking's idempotency key
	 * @return the count
	 */
	public int bookingCount(String key) {
		AtomicInteger count = this.bookingCount.get(key);
		return (count != null) ? count.get() : 0;
	}

	/**
	 * Returns the number of chat completions being streamed.
	 * @return the count
	 */
	public long runningStreams() {
		return this.runningStreams.get();
	}

	/**
	 * Pauses chat completions after their first word until {@link #resumeStreams()}.
	 * Tests use it to make streams overlap even if some of them start late.
	 */
	public void pauseStreams() {
		this.paused = true;
	}

	/**
	 * Resumes paused chat completions.
	 */
	public void resumeStreams() {
		this.paused = false;
	}

	@Override
	public void close() throws Exception {
		this.server.close().await(5, TimeUnit.SECONDS);
	}

	private void accept(HttpServerRequest request) {
		request.body().onSuccess((body) -> {
			switch (request.path()) {
				case "/v1/chat/completions" -> chat(request, body);
				case "/load" -> load(request);
				default -> book(request, body);
			}
		});
	}

	private void chat(HttpServerRequest request, Buffer body) {
		JsonObject prompt = parse(body);
		int tokens = prompt.getInteger("max_tokens", DEFAULT_TOKENS);
		HttpServerResponse response = request.response().setChunked(true);
		response.putHeader("Content-Type", "text/event-stream");
		this.runningStreams.incrementAndGet();
		AtomicInteger sent = new AtomicInteger();
		this.vertx.setPeriodic(this.tokenMillis, (timer) -> {
			if (response.closed()) {
				this.vertx.cancelTimer(timer);
				this.runningStreams.decrementAndGet();
				return;
			}
			boolean waits = this.paused && sent.get() > 0;
			if (waits || response.writeQueueFull()) {
				return;
			}
			if (sent.get() == tokens) {
				this.vertx.cancelTimer(timer);
				this.runningStreams.decrementAndGet();
				response.end("data: [DONE]\n\n");
				return;
			}
			response.write(token(sent.getAndIncrement()));
		});
	}

	private void book(HttpServerRequest request, Buffer body) {
		String key = request.getHeader("Idempotency-Key");
		int count = (key != null)
				? this.bookingCount.computeIfAbsent(key, (unused) -> new AtomicInteger()).incrementAndGet() : 0;
		request.response()
			.putHeader("Content-Type", "application/json")
			.end(new JsonObject().put("path", request.path())
				.put("run", count)
				.put("received", body.toString())
				.toBuffer());
	}

	private void load(HttpServerRequest request) {
		request.response()
			.putHeader("Content-Type", "application/json")
			.end(new JsonObject().put("running", this.runningStreams.get()).put("queued", 0).toBuffer());
	}

	private static Buffer token(int index) {
		JsonObject delta = new JsonObject().put("content", "token" + index + " ");
		JsonObject choice = new JsonObject().put("index", 0).put("delta", delta);
		JsonObject event = new JsonObject().put("object", "chat.completion.chunk")
			.put("choices", new JsonArray().add(choice));
		return Buffer.buffer("data: " + event.encode() + "\n\n");
	}

	private static JsonObject parse(Buffer body) {
		try {
			return body.toJsonObject();
		}
		catch (DecodeException ex) {
			return new JsonObject();
		}
	}

}
