package org.comfreywall.daemon.entry;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.result.Success;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.daemon.http.HttpSecurity;

/**
 * Serves callers' requests over HTTP/1.1 and HTTP/2.
 */
final class CallerServer implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(CallerServer.class);

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

	private static final int PREFETCH_MESSAGES = 64;

	private static final long SHUTDOWN_SECONDS = 5;

	private final RequestResolver resolver;

	private final EntryEngine engine;

	private final HttpServer server;

	CallerServer(Vertx vertx, HostPort listen, HttpSecurity security, RequestResolver resolver, EntryEngine engine) {
		this.resolver = Preconditions.notNull(resolver, "resolver");
		this.engine = Preconditions.notNull(engine, "engine");
		HttpServerOptions options = new HttpServerOptions().setHost(listen.host())
			.setPort(listen.port())
			.setMaxHeaderSize(MAX_HEADER_BYTES);
		this.server = security.create(vertx, options, ClientAuth.NONE)
			.requestHandler((http) -> accept(vertx.getOrCreateContext(), http))
			.listen()
			.await();
	}

	int port() {
		return this.server.actualPort();
	}

	@Override
	public void close() throws Exception {
		this.server.shutdown(SHUTDOWN_SECONDS, TimeUnit.SECONDS).await(2 * SHUTDOWN_SECONDS, TimeUnit.SECONDS);
	}

	private void accept(Context context, HttpServerRequest http) {
		Buffer body = Buffer.buffer();
		http.handler((part) -> {
			if (body.length() + part.length() > MAX_BODY_BYTES) {
				http.handler(null);
				http.endHandler(null);
				respondWithError(http.response(), ErrorCode.INVALID_INPUT,
						"the request body exceeds " + MAX_BODY_BYTES + " bytes");
				return;
			}
			body.appendBuffer(part);
		});
		http.endHandler((end) -> run(context, http, Bytes.of(body.getBytes())));
		http.exceptionHandler((cause) -> LOG.debug("request-broken", Field.of("reason", cause.getMessage())));
	}

	private void run(Context context, HttpServerRequest http, Bytes body) {
		Result<CallerRequest> resolved = this.resolver.resolve(http, body);
		if (resolved instanceof Success<CallerRequest> success) {
			stream(context, success.get(), http.response());
			return;
		}
		OperationError error = resolved.error().orElseThrow();
		respond(http.response(), Problem.of(Outcome.NOT_RUN, error));
	}

	private void stream(Context context, CallerRequest request, HttpServerResponse response) {
		response.putHeader("Comfreywall-Request-Id", request.id().value());
		Scheduler scheduler = Schedulers.from((task) -> context.runOnContext((nothing) -> task.run()));
		this.engine.run(request)
			.observeOn(scheduler, false, PREFETCH_MESSAGES)
			.subscribe(new CallerResponseWriter(request, response,
					(parts) -> this.engine.grantCredit(request.id(), parts), () -> this.engine.cancel(request.id())));
	}

	private static void respondWithError(HttpServerResponse response, ErrorCode code, String message) {
		respond(response, Problem.of(Outcome.NOT_RUN, OperationError.local(code, Step.ACCEPT, message)));
	}

	private static void respond(HttpServerResponse response, Problem problem) {
		response.setStatusCode(problem.status())
			.putHeader("Content-Type", Problem.CONTENT_TYPE)
			.putHeader(CallerResponseWriter.OUTCOME_HEADER, problem.outcome().name())
			.end(problem.json(Optional.empty()).toBuffer());
	}

}
