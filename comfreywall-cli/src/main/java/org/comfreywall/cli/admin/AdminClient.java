package org.comfreywall.cli.admin;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Preconditions;

/**
 * Blocking client of a daemon's admin API; each call waits for its response.
 */
public final class AdminClient implements AutoCloseable {

	private static final long CLOSE_TIMEOUT_SECONDS = 5;

	private final AdminTarget target;

	private final Vertx vertx;

	private final HttpClient http;

	private final AdminResponseConverter responses;

	/**
	 * Creates a client without connecting to the daemon.
	 * @param target the address and credentials of the daemon
	 */
	public AdminClient(AdminTarget target) {
		this.target = Preconditions.notNull(target, "target");
		FileSystemOptions files = new FileSystemOptions().setFileCachingEnabled(false)
			.setClassPathResolvingEnabled(false);
		this.vertx = Vertx
			.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setFileSystemOptions(files));
		this.http = this.vertx.createHttpClient(options(target));
		this.responses = new AdminResponseConverter(target);
	}

	/**
	 * Fetches the status of the fleet.
	 * @return the response body
	 */
	public Result<JsonObject> status() {
		return get("/v1/status");
	}

	/**
	 * Fetches the status of a group.
	 * @param group the group's name
	 * @return the response body
	 */
	public Result<JsonObject> group(String group) {
		return get("/v1/status/groups/" + encode(group));
	}

	/**
	 * Fetches the current configuration.
	 * @return the configuration and its revision
	 */
	public Result<VersionedConfiguration> configuration() {
		return get("/v1/configuration")
			.flatMap((body) -> this.responses.decode(() -> VersionedConfiguration.from(body)));
	}

	/**
	 * Submits a change. The call is idempotent: a resend with the same change id returns
	 * the first outcome.
	 * @param change the change
	 * @return the acceptance or the conflict with an earlier change
	 */
	public Result<SubmitResult> submit(ChangeSubmission change) {
		return exchange(HttpMethod.POST, "/v1/changes", change.toJson()).flatMap(this.responses::toSubmitResult);
	}

	/**
	 * Fetches how many live members have applied a revision.
	 * @param revision the revision
	 * @return the progress of the rollout
	 */
	public Result<RevisionProgress> progress(long revision) {
		return get("/v1/revisions/" + revision + "/progress")
			.flatMap((body) -> this.responses.decode(() -> RevisionProgress.from(body)));
	}

	/**
	 * Lists accepted changes.
	 * @param limit the maximum number of changes
	 * @return the changes in the order of the response
	 */
	public Result<List<AcceptedChange>> history(int limit) {
		return get("/v1/history?limit=" + limit)
			.flatMap((body) -> this.responses.decode(() -> AcceptedChange.listFrom(body)));
	}

	/**
	 * Lists recorded decisions about one subject.
	 * @param subject the subject, such as a request id
	 * @return the records in the order of the response
	 */
	public Result<List<DecisionView>> decisions(String subject) {
		return get("/v1/decisions?subject=" + encode(subject))
			.flatMap((body) -> this.responses.decode(() -> DecisionView.listFrom(body)));
	}

	/**
	 * Drains a backend server: it accepts no new requests and finishes running ones.
	 * @param backendServer the backend server's name
	 * @return the response body
	 */
	public Result<JsonObject> drain(String backendServer) {
		return exchange(HttpMethod.POST, "/v1/drain", new JsonObject().put("backendServer", backendServer))
			.flatMap(this.responses::toBody);
	}

	@Override
	public void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private Result<JsonObject> get(String path) {
		return exchange(HttpMethod.GET, path, null).flatMap(this.responses::toBody);
	}

	private Result<AdminResponse> exchange(HttpMethod method, String path, JsonObject body) {
		RequestOptions request = new RequestOptions().setMethod(method)
			.setURI(this.target.resolvePath(path))
			.setHost(this.target.host())
			.setPort(this.target.port())
			.setConnectTimeout(this.target.timeout().toMillis())
			.putHeader("accept", "application/json");
		if (body != null) {
			request.putHeader("content-type", "application/json");
		}
		Future<AdminResponse> response = this.http.request(request)
			.compose((sent) -> (body != null) ? sent.send(body.toBuffer()) : sent.send())
			.compose(AdminClient::readBody);
		return this.responses.await(response);
	}

	private static Future<AdminResponse> readBody(HttpClientResponse response) {
		return response.body().map((body) -> new AdminResponse(response.statusCode(), body.toString()));
	}

	private static HttpClientOptions options(AdminTarget target) {
		HttpClientOptions options = new HttpClientOptions().setSsl(target.isTls());
		target.trust().ifPresent((file) -> options.setTrustOptions(new PemTrustOptions().addCertPath(file.toString())));
		target.certificate()
			.ifPresent((file) -> options.setKeyCertOptions(new PemKeyCertOptions().addCertPath(file.toString())
				.addKeyPath(target.key().orElseThrow().toString())));
		return options;
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
