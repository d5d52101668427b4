package org.comfreywall.daemon.admin;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.comfreywall.common.config.toml.ConfigurationWriter;
import org.comfreywall.common.id.Revision;
import org.comfreywall.common.metrics.PrometheusWriter;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.generated.HistoryRecord;
import org.comfreywall.daemon.http.HttpSecurity;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.DrainRequest;
import org.comfreywall.transport.generated.MemberInfo;
import org.comfreywall.transport.rpc.RpcClient;

/**
 * The admin HTTP interface of a process.
 */
public final class AdminServer implements AutoCloseable {

	private static final long MAX_BODY_BYTES = 16L * 1024 * 1024;

	private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(2);

	private static final int DEFAULT_HISTORY_LIMIT = 20;

	private final AdminParts parts;

	private final ConfigurationService configurations;

	private final ChangeEndpoint changes;

	private final HttpServer server;

	/**
	 * Starts the interface.
	 * @param parts the dependencies of the interface
	 * @param listen the address to listen on
	 * @param security the TLS settings; with TLS, clients must present a certificate
	 */
	public AdminServer(AdminParts parts, HostPort listen, HttpSecurity security) {
		this.parts = Preconditions.notNull(parts, "parts");
		this.configurations = new ConfigurationService(LedgerCalls.through(parts.control()));
		this.changes = new ChangeEndpoint(this.configurations);
		HttpServerOptions options = new HttpServerOptions().setHost(listen.host()).setPort(listen.port());
		this.server = security.create(parts.vertx(), options, ClientAuth.REQUIRED)
			.requestHandler(routes())
			.listen()
			.await();
	}

	/**
	 * Returns the port that the interface listens on.
	 * @return the actual port
	 */
	public int port() {
		return this.server.actualPort();
	}

	@Override
	public void close() throws Exception {
		this.server.close().await(5, TimeUnit.SECONDS);
	}

	private Router routes() {
		Router router = Router.router(this.parts.vertx());
		router.get("/health")
			.handler((context) -> respond(context, AdminResponse.ok(new JsonObject().put("live", true))));
		router.get("/ready").handler(this::ready);
		router.get("/metrics").handler(this::metrics);
		router.get("/v1/status").handler(this::status);
		router.get("/v1/configuration").handler(this::configuration);
		router.get("/v1/history").handler(this::history);
		router.get("/v1/decisions").handler(this::decisions);
		router.get("/v1/revisions/:revision/progress").handler(this::progress);
		router.route(HttpMethod.POST, "/v1/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
		router.post("/v1/changes").handler(this::change);
		router.post("/v1/drain").handler(this::drain);
		return router;
	}

	private void ready(RoutingContext context) {
		Optional<String> reason = this.parts.notReady().get();
		JsonObject body = new JsonObject().put("ready", reason.isEmpty());
		reason.ifPresent((text) -> body.put("reason", text));
		respond(context, new AdminResponse(reason.isEmpty() ? 200 : 503, body));
	}

	private void metrics(RoutingContext context) {
		context.response()
			.putHeader("Content-Type", "text/plain; version=0.0.4")
			.end(PrometheusWriter.write(this.parts.registry(), this.parts.histograms()));
	}

	private void status(RoutingContext context) {
		JsonObject status = this.parts.status()
			.get()
			.put("revision", this.parts.configuration().revision().value())
			.put("members", AdminJson.members(this.parts.members().members()));
		respond(context, AdminResponse.ok(status));
	}

	private void configuration(RoutingContext context) {
		respond(context, this.configurations.currentConfiguration(),
				(present) -> new JsonObject().put("revision", present.revision().value())
					.put("configuration", ConfigurationWriter.write(present.configuration())));
	}

	private void history(RoutingContext context) {
		int limit = parseInt(context.request().getParam("limit"), DEFAULT_HISTORY_LIMIT);
		respond(context, this.configurations.history(Revision.ZERO), (all) -> AdminJson.history(last(all, limit)));
	}

	private static List<HistoryRecord> last(List<HistoryRecord> all, int limit) {
		return all.subList(Math.max(0, all.size() - limit), all.size());
	}

	private void decisions(RoutingContext context) {
		String subject = context.request().getParam("subject");
		respond(context, AdminResponse.ok(AdminJson.decisions(
				(subject != null) ? this.parts.decisions().findBySubject(subject) : this.parts.decisions().all())));
	}

	private void progress(RoutingContext context) {
		int revision = parseInt(context.pathParam("revision"), -1);
		if (revision < 0) {
			respond(context, AdminResponse.of(invalid("the revision must be a non-negative integer")));
			return;
		}
		List<MemberInfo> members = this.parts.members().members();
		JsonArray missing = new JsonArray();
		members.stream()
			.filter((member) -> member.getRevision() < revision)
			.forEach((member) -> missing.add(member.getInstance()));
		respond(context,
				AdminResponse.ok(new JsonObject().put("revision", revision)
					.put("members", members.size())
					.put("inForce", members.size() - missing.size())
					.put("missing", missing)));
	}

	private void change(RoutingContext context) {
		Result<ChangeRequest> request = ChangeRequest.parse(context.body().buffer());
		if (request.error().isPresent()) {
			respond(context, AdminResponse.of(request.error().get()));
			return;
		}
		respondWhenComplete(context, this.changes.submit(request.value().orElseThrow()));
	}

	private void drain(RoutingContext context) {
		String name = String.valueOf(context.body().asJsonObject().getValue("backendServer"));
		Optional<MemberInfo> member = this.parts.members()
			.members()
			.stream()
			.filter((info) -> info.getBackendServer().equals(name))
			.findFirst();
		Optional<HostPort> address = member.flatMap((info) -> HostPort.parse(info.getAddress()));
		if (address.isEmpty()) {
			respond(context, AdminResponse.of(OperationError.local(ErrorCode.NOT_FOUND, Step.MEMBERSHIP,
					"no live backend server is named " + name + "; see comfreywall status")));
			return;
		}
		RpcClient client = new RpcClient(this.parts.transport(), address.get());
		CompletableFuture<AdminResponse> answer = client.firstConnection()
			.orTimeout(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenCompose(
					(connected) -> client.call(ControlMethods.DRAIN, DrainRequest.getDefaultInstance(), DRAIN_TIMEOUT))
			.thenApply((result) -> result.error()
				.map(AdminResponse::of)
				.orElseGet(() -> new AdminResponse(202, new JsonObject().put("backendServer", name))));
		respondWhenComplete(context, answer.whenComplete((done, ex) -> client.close()));
	}

	private static OperationError invalid(String message) {
		return OperationError.local(ErrorCode.INVALID_INPUT, Step.ACCEPT, message);
	}

	private static int parseInt(String text, int fallback) {
		try {
			return (text != null) ? Integer.parseInt(text) : fallback;
		}
		catch (NumberFormatException ex) {
			return fallback;
		}
	}

	private <T> void respond(RoutingContext context, CompletionStage<Result<T>> stage, Function<T, JsonObject> toJson) {
		respondWhenComplete(context,
				stage.thenApply((result) -> result.error()
					.map(AdminResponse::of)
					.orElseGet(() -> AdminResponse.ok(toJson.apply(result.value().orElseThrow())))));
	}

	private void respondWhenComplete(RoutingContext context, CompletionStage<AdminResponse> stage) {
		stage.whenComplete((response, ex) -> {
			AdminResponse known = (ex != null)
					? AdminResponse.of(OperationError.local(ErrorCode.UNAVAILABLE, Step.SEND, String.valueOf(ex)))
					: response;
			this.parts.vertx().runOnContext((nothing) -> respond(context, known));
		});
	}

	private static void respond(RoutingContext context, AdminResponse response) {
		context.response()
			.setStatusCode(response.status())
			.putHeader("Content-Type", "application/json")
			.end(response.body().toBuffer());
	}

}
