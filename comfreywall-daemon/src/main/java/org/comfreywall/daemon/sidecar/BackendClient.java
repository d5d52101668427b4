package org.comfreywall.daemon.sidecar;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.id.AttemptId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.stream.EventBoundary;
import org.comfreywall.common.stream.ResponseBody;
import org.comfreywall.common.stream.ResponseStatus;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.attempt.AttemptPayload;

/**
 * HTTP client of the backend server.
 */
final class BackendClient implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 1024;

	private static final int TIMEOUT_MILLIS = 1000;

	/** A load report is a short JSON object. */
	private static final int MAX_LOAD_BYTES = 64 << 10;

	private final HttpClient client;

	private final URI backend;

	private final InstanceId self;

	private volatile boolean closed;

	BackendClient(Vertx vertx, URI backend, InstanceId self) {
		Preconditions.notNull(vertx, "vertx");
		this.backend = Preconditions.notNull(backend, "backend");
		this.self = Preconditions.notNull(self, "self");
		// A server may send a second copy of a response, late. Nothing in it tells
		// the copy from the response to the next call on the same connection, so
		// each call has its own; the server is on the same instance, where opening
		// one is cheap.
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(TIMEOUT_MILLIS)
			.setKeepAlive(false)
			.setDecompressionSupported(false);
		this.client = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
	}

	BackendCall run(AttemptId attempt, AttemptPayload payload, BackendListener listener) {
		VertxBackendCall call = new VertxBackendCall(listener);
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.valueOf(payload.method()))
			.setHost(this.backend.getHost())
			.setPort(this.backend.getPort())
			.setURI(payload.path());
		this.client.request(options).onComplete((result) -> {
			if (result.succeeded()) {
				call.send(result.result(), attempt, payload);
			}
			else {
				call.fail(ErrorCode.UNAVAILABLE, result.cause(), false);
			}
		});
		return call;
	}

	/**
	 * Queries the load of the backend server.
	 * @return completes with the load, or exceptionally if the server does not respond in
	 * time or the response is too long or not valid JSON
	 */
	CompletionStage<BackendLoad> load() {
		return this.client.request(loadRequest())
			.compose(HttpClientRequest::send)
			.compose(BackendClient::boundedBody)
			.map(BackendClient::parseLoad)
			.toCompletionStage();
	}

	/**
	 * Checks whether the backend server responds to HTTP requests.
	 * @return completes with whether it responded in time; never exceptionally
	 */
	CompletionStage<Boolean> isResponding() {
		return this.client.request(loadRequest())
			.compose(HttpClientRequest::send)
			// The body may have no end, and nobody needs it.
			.onSuccess((response) -> response.request().reset())
			.map((response) -> ResponseStatus.isValid(response.statusCode()))
			.otherwise(false)
			.toCompletionStage();
	}

	private static Future<Buffer> boundedBody(HttpClientResponse response) {
		Promise<Buffer> body = Promise.promise();
		Buffer collected = Buffer.buffer();
		response.exceptionHandler(body::tryFail);
		response.endHandler((end) -> body.tryComplete(collected));
		response.handler((part) -> {
			if (collected.length() + part.length() > MAX_LOAD_BYTES) {
				body.tryFail("the load report exceeds " + MAX_LOAD_BYTES + " bytes");
			}
			else {
				collected.appendBuffer(part);
			}
		});
		return body.future()
			.timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.onFailure((cause) -> response.request().reset());
	}

	private RequestOptions loadRequest() {
		return new RequestOptions().setMethod(HttpMethod.GET)
			.setHost(this.backend.getHost())
			.setPort(this.backend.getPort())
			.setURI("/load")
			.setTimeout(TIMEOUT_MILLIS);
	}

	private static BackendLoad parseLoad(Buffer body) {
		JsonObject json = body.toJsonObject();
		return new BackendLoad(json.getInteger("running", 0), json.getLong("queuedTokens", 0L));
	}

	@Override
	public void close() {
		this.closed = true;
		this.client.close();
	}

	private static boolean hasBody(HttpClientResponse response) {
		return ResponseBody.isAllowed(response.request().getMethod().name(), response.statusCode());
	}

	private static boolean isLengthDelimited(HttpClientResponse response) {
		return response.getHeader("Content-Length") != null || response.getHeader("Transfer-Encoding") != null;
	}

	/**
	 * A call whose events arrive on the client's event loop. Flow control and
	 * cancellation come from other threads, so state changes are synchronized.
	 */
	private final class VertxBackendCall implements BackendCall {

		private final BackendListener listener;

		private HttpClientRequest request;

		private HttpClientResponse response;

		private Optional<EventBoundary> events = Optional.empty();

		private boolean paused;

		private boolean ended;

		private boolean receivedBytes;

		VertxBackendCall(BackendListener listener) {
			this.listener = listener;
		}

		synchronized void send(HttpClientRequest opened, AttemptId attempt, AttemptPayload payload) {
			if (this.ended) {
				opened.reset();
				return;
			}
			this.request = opened;
			if (!payload.contentType().isEmpty()) {
				opened.putHeader("Content-Type", payload.contentType());
			}
			opened.putHeader("Comfreywall-Attempt", attempt.toString());
			opened.putHeader("Comfreywall-Priority", payload.priority().name().toLowerCase(Locale.ROOT));
			payload.idempotencyKey().ifPresent((key) -> opened.putHeader("Idempotency-Key", key.value()));
			opened.send(Buffer.buffer(payload.body().toArray())).onComplete((result) -> {
				if (result.succeeded()) {
					receive(result.result());
				}
				else {
					fail(ErrorCode.BACKEND_ERROR, result.cause(), true);
				}
			});
		}

		void fail(ErrorCode code, Throwable cause, boolean sent) {
			synchronized (this) {
				if (this.ended) {
					return;
				}
				this.ended = true;
			}
			this.listener.onFailure(OperationError.atPeer(code, Step.RUN, BackendClient.this.self,
					"backend server " + BackendClient.this.backend + ": " + cause.getMessage()), sent);
		}

		private void receive(HttpClientResponse opened) {
			synchronized (this) {
				if (this.ended) {
					return;
				}
				this.response = opened;
				if (this.paused) {
					opened.pause();
				}
			}
			if (!ResponseStatus.isValid(opened.statusCode())) {
				fail(ErrorCode.BACKEND_ERROR, new IOException("response with status " + opened.statusCode()), true);
				opened.request().reset();
				return;
			}
			String header = opened.getHeader("Content-Type");
			String type = (header != null) ? header : "";
			if (opened.statusCode() == HttpURLConnection.HTTP_OK && EventBoundary.isEventStream(type)) {
				this.events = Optional.of(new EventBoundary());
			}
			opened.exceptionHandler((cause) -> fail(ErrorCode.BACKEND_ERROR, cause, true));
			opened.handler((data) -> receive(data.getBytes()));
			opened.endHandler((end) -> end(opened));
			this.listener.onHead(opened.statusCode(), type);
		}

		private void receive(byte[] data) {
			if (!isActive()) {
				return;
			}
			this.receivedBytes = this.receivedBytes || data.length > 0;
			this.events.ifPresent((boundary) -> {
				for (byte next : data) {
					boundary.accept(next);
				}
			});
			this.listener.onChunk(Bytes.of(data));
		}

		private void end(HttpClientResponse opened) {
			boolean lengthDelimited = isLengthDelimited(opened);
			boolean unmarked = !lengthDelimited && hasBody(opened);
			if (unmarked && BackendClient.this.closed) {
				fail(ErrorCode.BACKEND_ERROR, new IOException("closed here within a response without length"), true);
			}
			else if (unmarked && !this.receivedBytes) {
				// An empty response cannot be told from one whose server stopped
				// after its head, and servers state a length of 0.
				fail(ErrorCode.BACKEND_ERROR, new IOException("response ended after its head"), true);
			}
			else if (this.events.filter((boundary) -> boundary.isBrokenOff(lengthDelimited)).isPresent()) {
				// The end of a connection ends a stream without a length even if its
				// server stopped.
				fail(ErrorCode.BACKEND_ERROR, new IOException("stream ended within an event"), true);
			}
			else {
				complete();
			}
		}

		private void complete() {
			synchronized (this) {
				if (this.ended) {
					return;
				}
				this.ended = true;
			}
			this.listener.onComplete();
		}

		private synchronized boolean isActive() {
			return !this.ended;
		}

		@Override
		public synchronized void pause() {
			this.paused = true;
			if (this.response != null) {
				this.response.pause();
			}
		}

		@Override
		public synchronized void resume() {
			this.paused = false;
			if (this.response != null) {
				this.response.resume();
			}
		}

		@Override
		public synchronized void cancel() {
			this.ended = true;
			if (this.request != null) {
				this.request.reset();
			}
		}

	}

}
