package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.gateway.config.ClientAccount;
import org.comfreywall.gateway.config.GatewayConfiguration;
import org.comfreywall.gateway.config.RequestKind;
import org.comfreywall.gateway.config.Route;
import org.comfreywall.gateway.poison.PoisonRefusal;
import org.comfreywall.gateway.poison.RequestTraits;
import org.comfreywall.gateway.pool.AttemptResult;
import org.comfreywall.gateway.pool.PoolServer;
import org.comfreywall.gateway.pool.RequestSize;
import org.comfreywall.gateway.pool.ServerAnnouncement;
import org.comfreywall.gateway.pool.ServicePool;
import org.comfreywall.gateway.pool.SizeClass;
import org.comfreywall.gateway.pool.SlotDecision;
import org.comfreywall.gateway.pool.SlotGranted;
import org.comfreywall.gateway.pool.SlotRefused;
import org.comfreywall.gateway.pool.WaitingRequest;

/**
 * Processes one request: finds its route, waits for a slot on a backend server, sends it,
 * retries on other servers within the limits of route and retry budget, and forwards the
 * response.
 * <p>
 * A failure is answered with 503 only if no backend server can have run the request, so
 * that the caller can retry it safely. Once one may have run it, the status is 502 or
 * 504, or the connection is closed if the response has begun.
 */
final class Exchange {

	/**
	 * The longest time in queue, as a multiple of the route's latency objective. Callers
	 * abandon a stream that has not begun after five objectives.
	 */
	private static final double MAX_WAIT_OBJECTIVES = 3;

	/** The longest time in queue, as a share of the time left until the deadline. */
	private static final double MAX_WAIT_SHARE = 0.5;

	/**
	 * The most failed connection attempts for one request; none of them has sent it.
	 */
	private static final int MAX_FAILED_CONNECTS = 4;

	/**
	 * The number of rejections by backend servers after which the request is given up.
	 */
	private static final int MAX_REJECTIONS = 3;

	/**
	 * The least time that a server needs to respond; no attempt is started with less time
	 * left.
	 */
	private static final long MIN_ATTEMPT_NANOS = 20_000_000L;

	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(400);

	private final Gateway gateway;

	private final CallerConnection caller;

	private final CallerRequest request;

	private final long id;

	private final Set<String> excluded = new HashSet<>();

	private final ResponseTiming timing;

	private final CallerResponse response;

	private final RequestTraits traits;

	private final Optional<RequestSize> size;

	private String fingerprint;

	private Route route;

	private String account = "";

	private String service;

	private ServicePool pool;

	private int priority;

	private boolean probableRetry;

	private long deadline;

	private ScheduledFuture<?> timer;

	private boolean queued;

	private long queuedAt;

	private Attempt attempt;

	private String server = "";

	private long queuedNanos;

	private int sent;

	private int failedConnects;

	private int rejections;

	private ResponseFraming framing = ResponseFraming.NONE;

	private int connectionResponses;

	private boolean mayHaveRun;

	private Optional<EndConfirmation> confirmation = Optional.empty();

	private boolean done;

	Exchange(Gateway gateway, CallerConnection caller, CallerRequest request) {
		this.gateway = gateway;
		this.caller = caller;
		this.request = request;
		this.id = gateway.nextId();
		this.timing = new ResponseTiming(request.arrival());
		this.response = new CallerResponse(caller.context(), this.timing, request.allowsChunks());
		String parts = request.headers().get(gateway.names().promptParts(), "");
		this.traits = RequestTraits.parse(parts, this::fingerprint, this::account);
		this.size = RequestSize.parse(request.headers().get(gateway.names().tokenCount(), ""),
				request.headers().get(gateway.names().lengthHint(), ""));
	}

	void start() {
		Optional<GatewayConfiguration> known = this.gateway.configuration();
		if (known.isEmpty()) {
			refuse("no-configuration", this.gateway.configurationRetryAfter());
			return;
		}
		Optional<Route> found = known.get().findRoute(this.request.host(), this.request.path());
		if (found.isEmpty()) {
			deny(HttpResponseStatus.NOT_FOUND, "no-route");
			return;
		}
		this.route = found.get();
		if (!authenticate(known.get())) {
			deny(HttpResponseStatus.UNAUTHORIZED, "unknown-key");
			return;
		}
		this.service = this.route.pickService(this.gateway.random().nextDouble());
		this.pool = this.gateway.pool(this.service);
		this.deadline = this.request.arrival() + timeoutNanos();
		if (this.gateway.endsBefore(this.deadline)) {
			// Another entry can take it at once.
			refuse("stopping", Duration.ZERO);
			return;
		}
		this.timer = this.caller.context()
			.executor()
			.schedule(this::timedOut, this.deadline - this.request.arrival(), TimeUnit.NANOSECONDS);
		if (this.route.kind().isStream()) {
			this.response.prepareStream(this.route.kind() == RequestKind.RESUMABLE_STREAM, this.request.headers());
		}
		enqueue();
	}

	private boolean authenticate(GatewayConfiguration configuration) {
		this.priority = this.route.priority();
		String key = this.request.headers().get(this.gateway.names().key());
		Optional<ClientAccount> owner = (key != null) ? configuration.findAccount(key) : Optional.empty();
		owner.ifPresent((found) -> {
			this.account = found.name();
			this.priority = found.priority().orElse(this.priority);
		});
		return owner.isPresent() || this.route.open() || !configuration.keysRequired();
	}

	private String fingerprint() {
		if (this.fingerprint == null) {
			String body = Bytes.of(this.request.body()).sha256();
			this.fingerprint = Bytes.ofText(String.join("\n", this.account, this.request.uri(), body)).sha256();
		}
		return this.fingerprint;
	}

	private long timeoutNanos() {
		long timeout = this.route.timeout().toNanos();
		String stated = this.request.headers().get(this.gateway.names().deadline(), "");
		if (stated.matches("\\d{1,9}")) {
			this.probableRetry = this.gateway.retryDetector()
				.isProbableRetry(this.route.name(), Long.parseLong(stated));
			return Math.min(timeout, TimeUnit.MILLISECONDS.toNanos(Long.parseLong(stated)));
		}
		return timeout;
	}

	private void enqueue() {
		long now = System.nanoTime();
		long left = this.deadline - now;
		if (left < MIN_ATTEMPT_NANOS) {
			giveUp("no-time-left");
			return;
		}
		if (refusePoison(now)) {
			return;
		}
		double wait = Math.min(MAX_WAIT_OBJECTIVES * this.route.objective().toNanos(), MAX_WAIT_SHARE * left);
		// A stream that has begun is not given up for a new one.
		long longest = this.mayHaveRun ? (long) wait
				: this.pool.longestWait(this.route.objective().toNanos(), (long) wait, now);
		WaitingRequest waiting = new WaitingRequest(this.id, this.priority, this.probableRetry, this.request.arrival(),
				now + longest, this.excluded, this.size);
		this.queued = true;
		this.queuedAt = now;
		this.gateway.addWaiting(this.id, this);
		handleDecision(this.pool.offer(waiting, now));
	}

	/**
	 * Handles the pool's decision about the waiting request.
	 * @param decision the decision
	 */
	void handleDecision(SlotDecision decision) {
		if (decision instanceof SlotGranted granted) {
			leaveQueue();
			long now = System.nanoTime();
			if (refusePoison(now)) {
				this.pool.release(granted.server(), this.id, AttemptResult.CANCELLED, 0, now);
				return;
			}
			send(granted.server());
		}
		else if (decision instanceof SlotRefused refused) {
			leaveQueue();
			giveUp(refused.reason(), refused.retryAfter());
		}
	}

	// Checked before each attempt, as evidence may arrive while the request is queued.
	private boolean refusePoison(long now) {
		Optional<PoisonRefusal> refusal = this.gateway.poison().check(this.traits, this.id, now);
		refusal.ifPresent((found) -> {
			this.gateway.log().poison(this, found);
			giveUp("poison", found.retryAfter());
		});
		return refusal.isPresent();
	}

	private void leaveQueue() {
		this.queued = false;
		this.gateway.removeWaiting(this.id);
	}

	private void send(PoolServer granted) {
		this.server = granted.announcement().server();
		this.queuedNanos += System.nanoTime() - this.queuedAt;
		this.attempt = new Attempt(this, this.gateway, this.pool, granted);
		this.attempt.connect(maxIdleNanos());
	}

	// The server may close a reused connection just as the request arrives. A request
	// that must not run twice then fails, so it gets a recently used or new connection.
	private long maxIdleNanos() {
		if (this.request.method().equals(HttpMethod.HEAD)) {
			return 0;
		}
		return this.route.kind().isRetryable() ? Long.MAX_VALUE : Gateway.FRESH_CONNECTION_NANOS;
	}

	CallerRequest request() {
		return this.request;
	}

	String account() {
		return this.account;
	}

	CallerResponse response() {
		return this.response;
	}

	RequestTraits traits() {
		return this.traits;
	}

	/**
	 * Returns the size that the caller stated.
	 * @return the size; empty if it is missing or malformed
	 */
	Optional<RequestSize> size() {
		return this.size;
	}

	/**
	 * Returns the place of the request among the last ones of its service by size.
	 * @return the class; empty if its size is unknown or does not matter
	 */
	Optional<SizeClass> sizeClass() {
		return this.size
			.flatMap((present) -> (this.pool != null) ? this.pool.work().sizeClass(present) : Optional.empty());
	}

	/**
	 * Returns the priority of the request at the engine.
	 * @return the priority; empty for the default
	 */
	OptionalInt enginePriority() {
		return this.size.map((present) -> this.pool.work().enginePriority(present, this.priority))
			.orElseGet(OptionalInt::empty);
	}

	String requestId() {
		return this.request.headers().get(this.gateway.names().request(), "none");
	}

	long id() {
		return this.id;
	}

	boolean isStream() {
		return this.route.kind().isStream();
	}

	long millisLeft(long now) {
		return Math.max(1, TimeUnit.NANOSECONDS.toMillis(this.deadline - now));
	}

	void connected() {
		this.sent++;
		if (this.sent == 1) {
			this.gateway.retryBudget(this.service).recordFirstAttempt(System.nanoTime());
		}
	}

	/**
	 * Called when the backend server stopped accepting requests before this one was sent.
	 */
	void notSent() {
		this.attempt = null;
		enqueue();
	}

	void connectFailed(PoolServer server) {
		recordCrash(server.announcement());
		exclude(server);
		this.failedConnects++;
		if (this.failedConnects < MAX_FAILED_CONNECTS) {
			enqueue();
		}
		else {
			giveUp("no-connection");
		}
	}

	private void recordCrash(ServerAnnouncement crashed) {
		this.gateway.poison().recordCrash(crashed.address().toString(), crashed.startedMillis() + 1, System.nanoTime());
	}

	/**
	 * Called when the backend server rejected the request without running it.
	 * @param server the server
	 * @param head the head of its response
	 */
	void rejected(PoolServer server, HttpResponse head) {
		exclude(server);
		this.rejections++;
		String faulty = head.headers().get(this.gateway.names().faultyServer(), "");
		boolean unavailable = head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
		Optional<ServerAnnouncement> other = this.pool.findOtherServer(server, faulty);
		if (unavailable && other.isPresent()) {
			recordCrash(other.get());
			// From now on the pool sends requests to other groups. If there is none, it
			// refuses them at once, or queues them if the group is about to serve again.
			this.pool.recordGroupFault(server, System.nanoTime());
			enqueue();
			return;
		}
		boolean misdirected = head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
		boolean allowed = misdirected || this.sent < this.route.attempts();
		if (allowed && this.rejections < MAX_REJECTIONS && takeFromRetryBudget("rejected")) {
			enqueue();
		}
		else {
			giveUp("rejected", this.pool.retryAfterRest(System.nanoTime()).orElse(DEFAULT_RETRY_AFTER));
		}
	}

	/**
	 * Called when an attempt failed after the backend server may have begun to run the
	 * request.
	 * @param server the server
	 * @param reason the reason, for logs and metrics
	 */
	void failed(PoolServer server, String reason) {
		this.confirmation = Optional.empty();
		if (tryTakeRetry(reason)) {
			sendAgain(server);
		}
		else {
			exclude(server);
			this.mayHaveRun = true;
			giveUp(reason);
		}
	}

	/**
	 * Takes a retry from the retry budget for a request that a backend server may have
	 * begun.
	 * @param reason the reason, for logs
	 * @return {@code true} if the request may be sent again with {@link #sendAgain}
	 */
	boolean tryTakeRetry(String reason) {
		return canRepeat() && this.sent < this.route.attempts() && takeFromRetryBudget(reason);
	}

	/**
	 * Sends the request again, to another server.
	 * @param server the server that may have begun to run it
	 */
	void sendAgain(PoolServer server) {
		exclude(server);
		this.mayHaveRun = true;
		this.response.discardPartialEvent();
		enqueue();
	}

	/**
	 * Asks another server, or the same one if it is the only one, for events after the
	 * last one, if the route allows it and most of the retry budget is left.
	 * @param answered the server whose stream ended without a mark
	 * @return {@code false} if no server is asked
	 */
	boolean tryConfirmEnd(PoolServer answered) {
		Optional<String> last = this.response.lastEventId();
		boolean possible = this.confirmation.isEmpty() && this.response.isStarted() && last.isPresent() && canRepeat()
				&& this.sent < this.route.attempts();
		if (!possible) {
			return false;
		}
		boolean taken = this.gateway.retryBudget(this.service)
			.tryAcquireSpare(this.gateway.entries(), System.nanoTime());
		this.gateway.log().retry(this, "end not marked", taken);
		if (!taken) {
			return false;
		}
		EndConfirmation asked = new EndConfirmation(last.get());
		this.confirmation = Optional.of(asked);
		this.response.writeRemainder();
		this.attempt = null;
		this.mayHaveRun = true;
		if (this.pool.hasOtherServer(answered)) {
			this.excluded.add(answered.announcement().server());
		}
		enqueue();
		this.caller.context()
			.executor()
			.schedule(() -> endConfirmation(asked), confirmationNanos(), TimeUnit.NANOSECONDS);
		return true;
	}

	private long confirmationNanos() {
		return (long) (MAX_WAIT_OBJECTIVES * this.route.objective().toNanos());
	}

	// A server that does not answer in time gives reason to doubt the end.
	private void endConfirmation(EndConfirmation asked) {
		if (!this.done && this.confirmation.isPresent() && !asked.isRefuted(this.response.lastEventId())) {
			end("end-not-confirmed", DEFAULT_RETRY_AFTER);
		}
	}

	/**
	 * Returns whether another server is being asked if the stream has ended.
	 * @return {@code true} from the question on
	 */
	boolean isConfirmingEnd() {
		return this.confirmation.isPresent();
	}

	/**
	 * Returns whether the stream went on after an end that was not marked.
	 * @return {@code true} if a server has sent a further event
	 */
	boolean isEndRefuted() {
		return this.confirmation.filter((asked) -> asked.isRefuted(this.response.lastEventId())).isPresent();
	}

	/**
	 * Called when the server that was asked to continue the stream has nothing to add.
	 */
	void notContinued() {
		this.attempt = null;
		giveUp("end not marked");
	}

	private void exclude(PoolServer server) {
		this.attempt = null;
		this.excluded.add(server.announcement().server());
	}

	private boolean canRepeat() {
		return this.route.kind().isRetryable() && this.response.isResumable();
	}

	private boolean takeFromRetryBudget(String reason) {
		boolean taken = this.gateway.retryBudget(this.service).tryAcquire(this.gateway.entries(), System.nanoTime());
		this.gateway.log().retry(this, reason, taken);
		return taken;
	}

	void completed(int status) {
		this.attempt = null;
		finish("answered", status, true);
	}

	private void giveUp(String reason) {
		giveUp(reason, DEFAULT_RETRY_AFTER);
	}

	private void giveUp(String reason, Duration retryAfter) {
		if (this.confirmation.isPresent() && !isEndRefuted() && this.response.endsWithConnection()
				&& EndConfirmation.isBelievedAfter(reason)) {
			this.gateway.log().endPassedOn(this, reason);
			this.response.complete();
			finish("answered", HttpResponseStatus.OK.code(), false);
		}
		else if (this.response.isStarted()) {
			this.response.abort();
			finish(reason, 0, false);
		}
		else if (this.mayHaveRun) {
			fail(HttpResponseStatus.BAD_GATEWAY, reason);
		}
		else {
			refuse(reason, retryAfter);
		}
	}

	private void timedOut() {
		end("timeout", DEFAULT_RETRY_AFTER);
	}

	/**
	 * Ends the request as this process ends: answers it unless its response has begun.
	 */
	void processEnds() {
		end("process-ends", Duration.ZERO);
	}

	private void end(String reason, Duration retryAfter) {
		if (this.done) {
			return;
		}
		Attempt running = this.attempt;
		boolean wasSent = running != null && running.isSent();
		abandon();
		if (this.response.isStarted()) {
			this.response.abort();
			finish(reason, 0, false);
		}
		else if (wasSent || this.mayHaveRun) {
			fail(HttpResponseStatus.GATEWAY_TIMEOUT, reason);
		}
		else {
			refuse(reason, retryAfter);
		}
	}

	private void refuse(String reason, Duration retryAfter) {
		boolean keepAlive = keepsAlive();
		this.response.sendStatus(HttpResponseStatus.SERVICE_UNAVAILABLE, Optional.of(retryAfter), keepAlive);
		finish(reason, HttpResponseStatus.SERVICE_UNAVAILABLE.code(), keepAlive);
	}

	// If its configuration may be outdated, the gateway cannot tell that a route or key
	// does not exist, so it answers with 503 instead of a permanent error.
	private void deny(HttpResponseStatus status, String reason) {
		if (!this.gateway.isCurrent()) {
			refuse(reason + "-not-current", DEFAULT_RETRY_AFTER);
			return;
		}
		fail(status, reason);
	}

	private void fail(HttpResponseStatus status, String reason) {
		boolean keepAlive = keepsAlive();
		this.response.sendStatus(status, Optional.empty(), keepAlive);
		finish(reason, status.code(), keepAlive);
	}

	private boolean keepsAlive() {
		return this.request.keepAlive() && !this.caller.isClosing() && !this.gateway.isStopping();
	}

	/**
	 * Returns whether the response head may announce keep-alive.
	 * @return {@code true} unless the caller or this process is closing the connection
	 */
	boolean keepAlive() {
		return keepsAlive();
	}

	void callerWritable(boolean writable) {
		if (this.attempt != null) {
			this.attempt.pauseReading(!writable);
		}
	}

	void callerDisconnected() {
		if (!this.done) {
			abandon();
			finish("caller-gone", 0, false);
		}
	}

	/**
	 * Returns the memory that parts of the response take before they are written.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return this.response.heldBytes() + ((this.attempt != null) ? this.attempt.heldBytes() : 0);
	}

	/** Called when an attempt holds more or less of the response. */
	void heldChanged() {
		this.caller.updateHeld();
	}

	boolean isCallerWritable() {
		return this.caller.context().channel().isWritable();
	}

	private void abandon() {
		if (this.queued) {
			this.pool.cancelWaiting(this.id);
			leaveQueue();
		}
		if (this.attempt != null) {
			this.attempt.cancel();
			this.attempt = null;
		}
	}

	private void finish(String reason, int status, boolean keepAlive) {
		if (this.done) {
			return;
		}
		this.done = true;
		if (this.timer != null) {
			this.timer.cancel(false);
		}
		long first = this.timing.timeToFirstPartNanos();
		if (first > 0) {
			this.size.flatMap(
					(present) -> this.pool.work().recordFirstEvent(present, first, this.route.objective().toNanos()))
				.ifPresent((inForce) -> this.gateway.log().shortPromptsFirst(this.service, inForce));
		}
		this.gateway.log().ended(this, reason, status);
		this.caller.exchangeEnded(keepAlive && this.response.keptAlive());
	}

	String routeName() {
		return (this.route != null) ? this.route.name() : "";
	}

	String serviceName() {
		return (this.service != null) ? this.service : "";
	}

	ResponseTiming timing() {
		return this.timing;
	}

	/**
	 * Returns the server that the last attempt was assigned to.
	 * @return the identifier, empty if no attempt was made
	 */
	String lastServer() {
		return this.server;
	}

	/**
	 * Returns the total time that the request waited for slots before its attempts.
	 * @return the time in nanoseconds
	 */
	long queuedNanos() {
		return this.queuedNanos;
	}

	int attemptCount() {
		return this.sent;
	}

	/**
	 * Records the response that an attempt received.
	 * @param received how its end is marked
	 * @param earlier the number of responses that its connection carried before
	 */
	void recordResponse(ResponseFraming received, int earlier) {
		this.framing = received;
		this.connectionResponses = earlier;
	}

	/**
	 * Returns how the end of the last response of a backend server is marked.
	 * @return the framing, {@link ResponseFraming#NONE} without a response
	 */
	ResponseFraming framing() {
		return this.framing;
	}

	/**
	 * Returns how many responses the connection of the last response carried before it.
	 * @return the number, 0 on a new connection
	 */
	int connectionResponses() {
		return this.connectionResponses;
	}

	/**
	 * Returns the result of an attempt by the head of its response.
	 * @param head the status and headers
	 * @return {@link AttemptResult#FAILED} for status 500 and above, unless the server
	 * asks for a time without requests, which is no fault
	 */
	static AttemptResult resultOf(HttpResponse head) {
		if (RetryAfter.of(head).isPresent()) {
			return AttemptResult.REJECTED;
		}
		return (head.status().code() >= 500) ? AttemptResult.FAILED : AttemptResult.ANSWERED;
	}

}
