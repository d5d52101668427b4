package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;

import io.reactivex.rxjava3.core.Flowable;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.metrics.RequestMetrics;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.entry.request.CallerCancelled;
import org.comfreywall.entry.request.ChooseRoute;
import org.comfreywall.entry.request.CompleteRequest;
import org.comfreywall.entry.request.DeliverPart;
import org.comfreywall.entry.request.ProbeConnection;
import org.comfreywall.entry.request.RequestAccepted;
import org.comfreywall.entry.request.RequestCommand;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.entry.request.RequestSpec;
import org.comfreywall.entry.request.RequestTracker;
import org.comfreywall.entry.request.RequestTrackerSettings;
import org.comfreywall.entry.request.RouteChosen;
import org.comfreywall.entry.request.RouteUnavailable;
import org.comfreywall.entry.request.SendCancel;
import org.comfreywall.entry.request.SendClaimQuery;
import org.comfreywall.entry.request.SendResume;
import org.comfreywall.entry.request.SendSeal;
import org.comfreywall.entry.request.SendStart;
import org.comfreywall.entry.request.StartNotSent;
import org.comfreywall.entry.request.TimePassed;
import org.comfreywall.entry.retry.RetryController;
import org.comfreywall.entry.retry.RetrySettings;
import org.comfreywall.transport.attempt.AttemptPayload;
import org.comfreywall.transport.attempt.EntryFrames;
import org.comfreywall.transport.generated.Load;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Executes the commands of the request tracker and feeds it and the routers with events.
 * Its state is confined to the entry's worker thread.
 */
final class EntryEngine implements AutoCloseable {

	private static final int INITIAL_CREDIT_PARTS = 64;

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final int CLAIM_QUERY_CREDIT_PARTS = 4096;

	private final SerialWorker worker;

	private final RouterRegistry routers;

	private final RequestMetrics metrics;

	private final Clock clock;

	private final RetryController retries;

	private final AdmissionGate gate;

	private final RequestTracker tracker;

	private final SidecarDirectory sidecars;

	private final ControlCommands controlCommands;

	private final Map<RequestId, ActiveRequest> active = new HashMap<>();

	private final RoutingFeedback routingFeedback;

	private final Deque<RequestEvent> pending = new ArrayDeque<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private boolean draining;

	private boolean handling;

	private Optional<ScheduledFuture<?>> timer = Optional.empty();

	EntryEngine(EntryParts parts, SerialWorker worker, RouterRegistry routers) {
		this.metrics = parts.metrics();
		this.clock = parts.clock();
		this.worker = Preconditions.notNull(worker, "worker");
		this.routers = Preconditions.notNull(routers, "routers");
		this.routingFeedback = new RoutingFeedback(routers);
		this.sidecars = new SidecarDirectory(parts.transport(), worker, new LinkEvents(), this::handle);
		this.controlCommands = new ControlCommands(parts.control(), (event) -> worker.execute(() -> handle(event)));
		this.retries = new RetryController(RetrySettings.DEFAULT, parts.random(), parts.decisions());
		this.gate = new AdmissionGate(parts, worker, new AdmissionEvents());
		this.tracker = new RequestTracker(RequestTrackerSettings.DEFAULT, this.retries, new Invariants(),
				parts.decisions());
	}

	/**
	 * Runs a request.
	 * @param request the request
	 * @return the answer's parts; an incomplete answer ends with a
	 * {@link RequestFailedException}
	 */
	Flowable<AnswerPart> run(CallerRequest request) {
		ActiveRequest started = new ActiveRequest(request, this.clock.nanoTime());
		if (!this.worker.offer(() -> accept(started))) {
			return Flowable.error(new RequestFailedException(Outcome.NOT_RUN, OperationError.local(ErrorCode.OVERLOADED,
					Step.ACCEPT, "the task queue of this entry is full; retry later"), RETRY_AFTER));
		}
		return started.answer();
	}

	/**
	 * Cancels a request whose caller has disconnected.
	 * @param request the request
	 */
	void cancel(RequestId request) {
		this.worker.offer(() -> {
			if (this.gate.cancel(request)) {
				this.active.remove(request);
				return;
			}
			handle(new CallerCancelled(request));
		});
	}

	/**
	 * Grants credit for more parts of an answer after the caller's connection took some.
	 * @param request the request
	 * @param parts the number of parts written to the caller
	 */
	void grantCredit(RequestId request, int parts) {
		this.worker.offer(() -> sendCredit(request, parts));
	}

	/**
	 * Adds a backend server, or replaces the address of its sidecar.
	 * @param sidecar the address of its sidecar
	 * @return completes when the sidecar is connected for the first time
	 */
	CompletableFuture<Void> addBackendServer(SidecarAddress sidecar) {
		CompletableFuture<Void> reached = new CompletableFuture<>();
		this.worker.execute(() -> this.sidecars.connect(sidecar, reached));
		return reached;
	}

	/**
	 * Advances the timers of the routers and the admission gate; called periodically on
	 * the worker thread.
	 */
	void tick() {
		this.routers.tick();
		this.gate.tick();
		completeDrain();
	}

	/**
	 * Refuses new requests and lets active ones finish.
	 * @return completes when no request is active
	 */
	CompletableFuture<Void> drain() {
		this.worker.execute(() -> {
			this.draining = true;
			completeDrain();
		});
		return this.drained;
	}

	private void completeDrain() {
		if (this.draining && this.active.isEmpty()) {
			this.drained.complete(null);
		}
	}

	@Override
	public void close() {
		this.sidecars.close();
	}

	private void accept(ActiveRequest started) {
		if (this.draining) {
			started.refuse(OperationError.local(ErrorCode.UNAVAILABLE, Step.ACCEPT,
					"this entry is shutting down; retry the request"), RETRY_AFTER);
			return;
		}
		this.active.put(started.request().id(), started);
		this.gate.offer(started);
	}

	private void track(ActiveRequest started) {
		CallerRequest request = started.request();
		this.retries.recordFirstAttempt(request.account(), request.service());
		RequestSpec spec = new RequestSpec(request.id(), started.fingerprint(), request.key(), request.idempotent(),
				request.keyRequired());
		long now = this.clock.nanoTime();
		handle(new RequestAccepted(spec, now + started.remainingNanos(now), PoisonVerdict.CLEAR));
	}

	private void handle(RequestEvent event) {
		this.pending.addLast(event);
		if (this.handling) {
			return;
		}
		this.handling = true;
		try {
			handlePending();
		}
		finally {
			this.handling = false;
		}
		scheduleTimer();
	}

	private void handlePending() {
		while (!this.pending.isEmpty()) {
			List<RequestCommand> commands = this.tracker.handle(this.pending.removeFirst(), this.clock.nanoTime());
			commands.forEach(this::execute);
		}
	}

	private void scheduleTimer() {
		this.timer.ifPresent((scheduled) -> scheduled.cancel(false));
		OptionalLong next = this.tracker.nextTimer();
		if (next.isEmpty()) {
			this.timer = Optional.empty();
			return;
		}
		Duration delay = Duration.ofNanos(Math.max(0, next.getAsLong() - this.clock.nanoTime()));
		this.timer = Optional.of(this.worker.schedule(delay, () -> handle(new TimePassed())));
	}

	private void execute(RequestCommand command) {
		if (command instanceof DeliverPart part) {
			deliver(part);
		}
		else if (command instanceof CompleteRequest result) {
			complete(result);
		}
		else if (command instanceof ChooseRoute route) {
			chooseRoute(route);
		}
		else if (!sendToSidecar(command)) {
			this.controlCommands.execute(command);
		}
	}

	private boolean sendToSidecar(RequestCommand command) {
		if (command instanceof SendStart start) {
			start(start);
		}
		else if (command instanceof SendSeal seal) {
			this.sidecars.sendOrReportLost(seal.target().backendServer(), seal.target().incarnation(),
					EntryFrames.seal(seal));
		}
		else if (command instanceof SendResume resume) {
			setAnsweringServer(resume.attempt().request(), resume.backendServer());
			this.sidecars.sendOrReportLost(resume.backendServer(), resume.incarnation(),
					EntryFrames.resume(resume, INITIAL_CREDIT_PARTS));
		}
		else if (command instanceof SendCancel cancel) {
			this.sidecars.sendOrReportLost(cancel.backendServer(), cancel.incarnation(), EntryFrames.cancel(cancel));
		}
		else if (command instanceof SendClaimQuery query) {
			this.sidecars.sendOrReportLost(query.backendServer(), query.incarnation(),
					EntryFrames.claimQuery(query, CLAIM_QUERY_CREDIT_PARTS));
		}
		else if (command instanceof ProbeConnection probe) {
			this.sidecars.probe(probe.backendServer());
		}
		else {
			return false;
		}
		return true;
	}

	private void chooseRoute(ChooseRoute route) {
		ActiveRequest request = this.active.get(route.request());
		if (request == null) {
			return;
		}
		Optional<AttemptTarget> target = this.routingFeedback.choose(request.request(), route.excluded())
			.flatMap((choice) -> this.sidecars.target(choice.server(), choice.incarnation()));
		if (target.isEmpty()) {
			handle(new RouteUnavailable(route.request(), OperationError.local(ErrorCode.UNAVAILABLE, Step.ROUTE,
					"no healthy backend server for service " + request.request().service())));
			return;
		}
		handle(new RouteChosen(route.request(), target.get()));
	}

	private void start(SendStart start) {
		RequestId id = start.attempt().request();
		ActiveRequest request = this.active.get(id);
		if (request == null) {
			handle(new StartNotSent(start.attempt()));
			return;
		}
		CallerRequest caller = request.request();
		Duration remaining = Duration.ofNanos(Math.max(0, request.remainingNanos(this.clock.nanoTime())));
		AttemptPayload payload = new AttemptPayload(caller.method(), caller.path(), caller.contentType(), caller.body(),
				caller.priority(), remaining, caller.key());
		request.setAnsweringServer(start.target().backendServer());
		boolean sent = this.sidecars.send(start.target().backendServer(), start.target().incarnation(),
				EntryFrames.start(start, payload, INITIAL_CREDIT_PARTS));
		if (!sent) {
			handle(new StartNotSent(start.attempt()));
			return;
		}
		this.routingFeedback.reportSent(start.attempt());
	}

	private void setAnsweringServer(RequestId request, BackendServerId server) {
		Optional.ofNullable(this.active.get(request)).ifPresent((found) -> found.setAnsweringServer(server));
	}

	private void deliver(DeliverPart part) {
		ActiveRequest request = this.active.get(part.request());
		if (request == null) {
			return;
		}
		boolean first = request.deliver(part.part(), this.metrics, this.clock.nanoTime());
		if (first) {
			this.retries.recordLatency(request.request().service(), request.age(this.clock.nanoTime()));
			this.routingFeedback.reportFirstToken(part.request());
		}
	}

	private void complete(CompleteRequest result) {
		ActiveRequest request = this.active.remove(result.request());
		this.routingFeedback.reportEnded(result.request(), result.outcome() == Outcome.COMPLETED);
		if (request == null) {
			return;
		}
		this.gate.handleFinished(request, result.outcome(), result.error());
		request.complete(result, this.metrics, this.clock.nanoTime());
	}

	private void sendCredit(RequestId id, int parts) {
		ActiveRequest request = this.active.get(id);
		if (request == null) {
			return;
		}
		request.answeringServer().ifPresent((server) -> this.sidecars.sendCredit(server, id, parts));
	}

	/**
	 * Starts or refuses requests according to the admission decision.
	 */
	private final class AdmissionEvents implements AdmissionListener {

		@Override
		public void onAdmitted(RequestId id, Duration queued) {
			ActiveRequest request = EntryEngine.this.active.get(id);
			if (request != null) {
				EntryEngine.this.metrics.recordQueueing(request.request().account(), queued.toNanos());
				track(request);
			}
		}

		@Override
		public void onRefused(RequestId id, OperationError error, Duration retryAfter) {
			ActiveRequest request = EntryEngine.this.active.remove(id);
			if (request != null) {
				EntryEngine.this.metrics.recordRejection(request.request().account(), error.code());
				request.refuse(error, retryAfter);
			}
		}

	}

	/**
	 * Forwards the events of sidecar links to the request tracker and the routers.
	 */
	private final class LinkEvents implements SidecarLinkListener {

		@Override
		public void onFirstConnected(SidecarLink link, Incarnation incarnation) {
			EntryEngine.this.routers.addServer(link, incarnation);
			EntryEngine.this.sidecars.completeConnect(link.server());
		}

		@Override
		public void onLost(SidecarLink link, Incarnation incarnation) {
			EntryEngine.this.routers.removeServer(link, incarnation);
		}

		@Override
		public void onEvent(RequestEvent event) {
			handle(event);
		}

		@Override
		public void onLoad(SidecarLink link, Load load) {
			EntryEngine.this.routers.reportLoad(link, load);
		}

	}

}
