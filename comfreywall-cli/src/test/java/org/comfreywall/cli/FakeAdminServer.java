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
 * Fake admin API that returns prepared responses in order; the last response for a
 * request is repeated.
 */
final class FakeAdminServer implements AutoCloseable {

	private static final int CLOSE_CONNECTION = 0;

	private final Vertx vertx = Vertx.vertx();

	private final Map<String, Deque<Response>> responses = new ConcurrentHashMap<>();

	private final List<JsonObject> bodies = new CopyOnWriteArrayList<>();

	private final HttpServer server;

	FakeAdminServer() {
		this.server = this.vertx.createHttpServer()
			.requestHandler(this::respond)
			.listen(0, "127.0.0.1")
			.toCompletionStage()
			.toCompletableFuture()
			.join();
	}

	FakeAdminServer addResponse(String request, int status, String body) {
		this.responses.computeIfAbsent(request, (key) -> new ArrayDeque<>()).add(new Response(status, body));
		return this;
	}

	FakeAdminServer addDroppedConnection(String request) {
		return addResponse(request, CLOSE_CONNECTION, "");
	}

	String url() {
		return "http://127.0.0.1:" + this.server.actualPort();
	}

	List<JsonObject> bodies() {
		return this.bodies;
	}

	private void respond(HttpServerRequest request) {
		request.body().onSuccess((body) -> {
			if (body.length() > 0) {
				this.bodies.add(body.toJsonObject());
			}
			Response response = next(request.method() + " " + request.uri());
			if (response.status() == CLOSE_CONNECTION) {
				request.connection().close();
			}
			else {
				request.response().setStatusCode(response.status()).end(response.body());
			}
		});
	}

	private Response next(String request) {
		Deque<Response> prepared = this.responses.getOrDefault(request, new ArrayDeque<>());
		synchronized (prepared) {
			if (prepared.isEmpty()) {
				return new Response(404, "{\"error\":{\"code\":\"NOT_FOUND\",\"step\":\"CONFIGURE\",\"peer\":\"one\","
						+ "\"message\":\"no response prepared for " + request + "\"}}");
			}
			return (prepared.size() > 1) ? prepared.poll() : prepared.peek();
		}
	}

	@Override
	public void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	private record Response(int status, String body) {

	}

}
