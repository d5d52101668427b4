package org.comfreywall.daemon.sidecar;

import java.net.URI;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.generated.AttemptStart;

/**
 * Calls the backend server over HTTP.
 */
final class BackendClient implements AutoCloseable {

	private static final int MAX_CONNECTIONS = 1024;

	private static final int CONNECT_MILLIS = 1000;

	private final HttpClient client;

	private final URI backend;

	private final InstanceId self;

	BackendClient(Vertx vertx, URI backend, InstanceId self) {
		Preconditions.notNull(vertx, "vertx");
		this.backend = Preconditions.notNull(backend, "backend");
		this.self = Preconditions.notNull(self, "self");
		HttpClientOptions options = new HttpClientOptions().setConnectTimeout(CONNECT_MILLIS)
			.setDecompressionSupported(false);
		this.client = vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
	}

	BackendCall run(AttemptStart start, BackendListener listener) {
		VertxBackendCall call = new VertxBackendCall(listener);
		RequestOptions options = new RequestOptions().setMethod(HttpMethod.valueOf(start.getMethod()))
			.setHost(this.backend.getHost())
			.setPort(this.backend.getPort())
			.setURI(start.getPath());
		this.client.request(options).onComplete((result) -> {
			if (result.succeeded()) {
				call.send(result.result(), start);
			}
			else {
				call.fail(ErrorCode.UNAVAILABLE, result.cause(), false);
			}
		});
		return call;
	}

	@Override
	public void close() {
		this.client.close();
	}

	/**
	 * One call; used on the client's event loop except for flow control, which Vert.x
	 * allows from any thread.
	 */
	private final class VertxBackendCall implements BackendCall {

		private final BackendListener listener;

		private HttpClientRequest request;

		private HttpClientResponse response;

		private boolean paused;

		private boolean ended;

		VertxBackendCall(BackendListener listener) {
			this.listener = listener;
		}

		synchronized void send(HttpClientRequest opened, AttemptStart start) {
			if (this.ended) {
				opened.reset();
				return;
			}
			this.request = opened;
			if (!start.getContentType().isEmpty()) {
				opened.putHeader("Content-Type", start.getContentType());
			}
			opened.putHeader("Comfreywall-Attempt",
					start.getAttempt().getRequest() + "/" + start.getAttempt().getNumber());
			opened.putHeader("Comfreywall-Priority", Integer.toString(start.getPriority()));
			if (!start.getIdempotencyKey().isEmpty()) {
				opened.putHeader("Idempotency-Key", start.getIdempotencyKey());
			}
			opened.send(Buffer.buffer(start.getBody().toByteArray())).onComplete((result) -> {
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
			this.listener.onFailure(OperationError.at(code, Step.RUN, BackendClient.this.self,
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
			opened.exceptionHandler((cause) -> fail(ErrorCode.BACKEND_ERROR, cause, true));
			opened.handler((data) -> {
				if (isLive()) {
					this.listener.onChunk(Bytes.of(data.getBytes()));
				}
			});
			opened.endHandler((end) -> complete());
			String type = opened.getHeader("Content-Type");
			this.listener.onHead(opened.statusCode(), (type != null) ? type : "");
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

		private synchronized boolean isLive() {
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
