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
 * Drives the request tracker: passes it events, executes the commands that it returns,
 * and reports the state of attempts and sidecars to the routers. Its state is confined to
 * the entry's worker thread.
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

	private final AdmissionGate admissionGate;

	private final RequestTracker tracker;

	private final SidecarDirectory sidecars;

	private final ControlCommands controlCommands;

	private final Map<RequestId, ActiveRequest> activeRequests = new HashMap<>();

	private final RoutingFeedback routingFeedback;

	private final Deque<RequestEvent> pendingEvents = new ArrayDeque<>();

	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private boolean draining;

	private boolean handlingEvents;

	private Optional<ScheduledFuture<?>> trackerTimer = Optional.empty();

	EntryEngine(EntryParts parts, SerialWorker worker, RouterRegistry routers) {
		this.metrics = parts.metrics();
		this.clock = parts.clock();
		this.worker = Preconditions.notNull(worker, "worker");
		this.routers = Preconditions.notNull(routers, "routers");
		this.routingFeedback = new RoutingFeedback(routers);
		this.sidecars = new SidecarDirectory(parts.transport(), worker, new LinkEventHandler(), this::handleEvent);
		this.controlCommands = new ControlCommands(parts.control(),
				(event) -> worker.execute(() -> handleEvent(event)));
		this.retries = new RetryController(RetrySettings.DEFAULT, parts.random(), parts.decisions());
		this.admissionGate = new AdmissionGate(parts, worker, new AdmissionDecisionHandler());
		this.tracker = new RequestTracker(RequestTrackerSettings.DEFAULT, this.retries, new Invariants(),
				parts.decisions());
	}

	/**
	 * Queues a request for admission and returns the stream of its answer.
	 * @param request the request
	 * @return the parts of the answer; if the request is refused or its answer stays
	 * incomplete, the stream ends with a {@link RequestFailedException}
	 */
	Flowable<AnswerPart> run(CallerRequest request) {
		ActiveRequest activeRequest = new ActiveRequest(request, this.clock.nanoTime());
		if (!this.worker.offer(() -> accept(activeRequest))) {
			return Flowable.error(new RequestFailedException(Outcome.NOT_RUN, OperationError.local(ErrorCode.OVERLOADED,
					Step.ACCEPT, "the task queue of this entry is full; retry later"), RETRY_AFTER));
		}
		return activeRequest.answer();
	}

	/**
	 * Cancels a request whose caller has disconnected. Before admission, it is removed
	 * from the queue; afterwards, the request tracker cancels it.
	 * @param request the request
	 */
	void cancel(RequestId request) {
		this.worker.executeEventually(() -> {
			if (this.admissionGate.cancel(request)) {
				this.activeRequests.remove(request);
				return;
			}
			handleEvent(new CallerCancelled(request));
		});
	}

	/**
	 * Grants the answering sidecar credit for as many further parts as were written to
	 * the caller.
	 * @param request the request
	 * @param parts the number of parts written to the caller
	 */
	void grantCredit(RequestId request, int parts) {
		this.worker.executeEventually(() -> sendCredit(request, parts));
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
	 * Advances the timers of the routers and the admission gate, and completes a
	 * requested drain once no request is active. Called periodically on the worker
	 * thread.
	 */
	void tick() {
		this.routers.tick();
		this.admissionGate.tick();
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
		if (this.draining && this.activeRequests.isEmpty()) {
			this.drained.complete(null);
		}
	}

	@Override
	public void close() {
		this.sidecars.close();
	}

	private void accept(ActiveRequest activeRequest) {
		if (this.draining) {
			activeRequest.refuse(OperationError.local(ErrorCode.UNAVAILABLE, Step.ACCEPT,
					"this entry is shutting down; retry the request"), RETRY_AFTER);
			return;
		}
		this.activeRequests.put(activeRequest.request().id(), activeRequest);
		this.admissionGate.offer(activeRequest);
	}

	private void startTracking(ActiveRequest activeRequest) {
		CallerRequest request = activeRequest.request();
		this.retries.recordFirstAttempt(request.account(), request.service());
		RequestSpec spec = new RequestSpec(request.id(), activeRequest.fingerprint(), request.key(),
				request.idempotent(), request.keyRequired());
		long now = this.clock.nanoTime();
		handleEvent(new RequestAccepted(spec, now + activeRequest.remainingNanos(now), PoisonVerdict.CLEAR));
	}

	/**
	 * Passes an event to the request tracker. An event that a command raises during its
	 * execution is queued until all commands of the current event are executed, which
	 * keeps the order in which the tracker returned them.
	 * @param event the event
	 */
	private void handleEvent(RequestEvent event) {
		this.pendingEvents.addLast(event);
		if (this.handlingEvents) {
			return;
		}
		this.handlingEvents = true;
		try {
			handlePendingEvents();
		}
		finally {
			this.handlingEvents = false;
		}
		scheduleTrackerTimer();
	}

	private void handlePendingEvents() {
		while (!this.pendingEvents.isEmpty()) {
			List<RequestCommand> commands = this.tracker.handle(this.pendingEvents.removeFirst(),
					this.clock.nanoTime());
			commands.forEach(this::executeCommand);
		}
	}

	/**
	 * Replaces the scheduled timer event by one for the tracker's next timer, if any.
	 */
	private void scheduleTrackerTimer() {
		this.trackerTimer.ifPresent((scheduled) -> scheduled.cancel(false));
		OptionalLong next = this.tracker.nextTimer();
		if (next.isEmpty()) {
			this.trackerTimer = Optional.empty();
			return;
		}
		Duration delay = Duration.ofNanos(Math.max(0, next.getAsLong() - this.clock.nanoTime()));
		this.trackerTimer = Optional.of(this.worker.schedule(delay, () -> handleEvent(new TimePassed())));
	}

	private void executeCommand(RequestCommand command) {
		if (command instanceof DeliverPart part) {
			deliverPart(part);
		}
		else if (command instanceof CompleteRequest result) {
			completeRequest(result);
		}
		else if (command instanceof ChooseRoute route) {
			chooseRoute(route);
		}
		else if (!sendToSidecar(command)) {
			this.controlCommands.execute(command);
		}
	}

	/**
	 * Sends a command to the sidecar that it addresses.
	 * @param command the command
	 * @return {@code false} if the command is not addressed to a sidecar
	 */
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
		ActiveRequest request = this.activeRequests.get(route.request());
		if (request == null) {
			return;
		}
		Optional<AttemptTarget> target = this.routingFeedback.choose(request.request(), route.excluded())
			.flatMap((choice) -> this.sidecars.target(choice.server(), choice.incarnation()));
		if (target.isEmpty()) {
			handleEvent(new RouteUnavailable(route.request(), OperationError.local(ErrorCode.UNAVAILABLE, Step.ROUTE,
					"no healthy backend server for service " + request.request().service())));
			return;
		}
		handleEvent(new RouteChosen(route.request(), target.get()));
	}

	private void start(SendStart start) {
		RequestId id = start.attempt().request();
		ActiveRequest request = this.activeRequests.get(id);
		if (request == null) {
			handleEvent(new StartNotSent(start.attempt()));
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
			handleEvent(new StartNotSent(start.attempt()));
			return;
		}
		this.routingFeedback.reportSent(start.attempt());
	}

	private void setAnsweringServer(RequestId request, BackendServerId server) {
		Optional.ofNullable(this.activeRequests.get(request)).ifPresent((found) -> found.setAnsweringServer(server));
	}

	private void deliverPart(DeliverPart part) {
		ActiveRequest request = this.activeRequests.get(part.request());
		if (request == null) {
			return;
		}
		boolean first = request.deliver(part.part(), this.metrics, this.clock.nanoTime());
		if (first) {
			this.retries.recordLatency(request.request().service(), request.age(this.clock.nanoTime()));
			this.routingFeedback.reportFirstToken(part.request());
		}
	}

	private void completeRequest(CompleteRequest result) {
		ActiveRequest request = this.activeRequests.remove(result.request());
		this.routingFeedback.reportEnded(result.request(), result.outcome() == Outcome.COMPLETED);
		if (request == null) {
			return;
		}
		this.admissionGate.handleFinished(request, result.outcome(), result.error());
		request.complete(result, this.metrics, this.clock.nanoTime());
	}

	private void sendCredit(RequestId id, int parts) {
		ActiveRequest request = this.activeRequests.get(id);
		if (request == null) {
			return;
		}
		request.answeringServer().ifPresent((server) -> this.sidecars.sendCredit(server, id, parts));
	}

	/**
	 * Passes admitted requests to the request tracker and refuses the others.
	 */
	private final class AdmissionDecisionHandler implements AdmissionListener {

		@Override
		public void onAdmitted(RequestId id, Duration queued) {
			ActiveRequest request = EntryEngine.this.activeRequests.get(id);
			if (request != null) {
				EntryEngine.this.metrics.recordQueueing(request.request().account(), queued.toNanos());
				startTracking(request);
			}
		}

		@Override
		public void onRefused(RequestId id, OperationError error, Duration retryAfter) {
			ActiveRequest request = EntryEngine.this.activeRequests.remove(id);
			if (request != null) {
				EntryEngine.this.metrics.recordRejection(request.request().account(), error.code());
				request.refuse(error, retryAfter);
			}
		}

	}

	/**
	 * Forwards the events of sidecar links to the request tracker and the routers.
	 */
	private final class LinkEventHandler implements SidecarLinkListener {

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
			handleEvent(event);
		}

		@Override
		public void onLoad(SidecarLink link, Load load) {
			EntryEngine.this.routers.reportLoad(link, load);
		}

	}

}
