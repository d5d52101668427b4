package org.comfreywall.cli;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * Answers the admin API with prepared answers; the last answer for a request is repeated.
 */
final class AdminStandIn implements AutoCloseable {

	private static final int NO_ANSWER = 0;

	private final Vertx vertx = Vertx.vertx();

	private final Map<String, Deque<Answer>> answers = new ConcurrentHashMap<>();

	private final List<JsonObject> bodies = new CopyOnWriteArrayList<>();

	private final HttpServer server;

	AdminStandIn() {
		this.server = this.vertx.createHttpServer()
			.requestHandler(this::answer)
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	AdminStandIn on(String request, int status, String body) {
		this.answers.computeIfAbsent(request, (key) -> new ArrayDeque<>()).add(new Answer(status, body));
		return this;
	}

	AdminStandIn loseAnswer(String request) {
		return on(request, NO_ANSWER, "");
	}

	String url() {
		return "http://127.0.0.1:" + this.server.actualPort();
	}

	List<JsonObject> bodies() {
		return this.bodies;
	}

	private void answer(HttpServerRequest request) {
		request.body().onSuccess((body) -> {
			if (body.length() > 0) {
				this.bodies.add(body.toJsonObject());
			}
			Answer answer = next(request.method() + " " + request.uri());
			if (answer.status() == NO_ANSWER) {
				request.connection().close();
			}
			else {
				request.response().setStatusCode(answer.status()).end(answer.body());
			}
		});
	}

	private Answer next(String request) {
		Deque<Answer> prepared = this.answers.getOrDefault(request, new ArrayDeque<>());
		synchronized (prepared) {
			if (prepared.isEmpty()) {
				return new Answer(404, "{\"error\":{\"code\":\"NOT_FOUND\",\"step\":\"CONFIGURE\",\"peer\":\"one\","
						+ "\"message\":\"no answer prepared for " + request + "\"}}");
			}
			return (prepared.size() > 1) ? prepared.poll() : prepared.peek();
		}
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private record Answer(int status, String body) {

	}

}
