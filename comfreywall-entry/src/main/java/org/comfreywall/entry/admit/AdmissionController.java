package org.comfreywall.entry.admit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.Preconditions;

/**
 * Admission control for one service at one entry: starts requests, queues them for a
 * bounded time, and sheds those that cannot be answered in time, lowest class first.
 * <p>
 * The number of requests that run at one time adapts to their run time. A request whose
 * expected wait exceeds the limit of its class, or that would miss its caller's deadline,
 * is refused at once with a time after which to retry. Within a class, client accounts
 * are served by weighted fair queueing. The settings limit the numbers of queued and
 * running requests. The driver calls {@link #tick} every few milliseconds. Not
 * thread-safe.
 */
public final class AdmissionController {

	private static final long MIN_RETRY_AFTER_NANOS = 100_000_000;

	private static final long MAX_RETRY_AFTER_NANOS = 30_000_000_000L;

	/** Maximum jitter, as a share of the time after which to retry. */
	private static final double RETRY_JITTER = 0.5;

	/**
	 * Lower bound of the work rate left to a class by the higher ones, as a share of the
	 * total rate.
	 */
	private static final double MIN_RATE_SHARE = 0.02;

	/** Factor of the exponential moving average of the run time per unit of cost. */
	private static final double RUN_TIME_SMOOTHING = 0.02;

	/**
	 * Multiple of the mean run time that must remain until the deadline when a request
	 * starts.
	 */
	private static final double RUN_TIME_MARGIN = 3;

	private final AdmissionSettings settings;

	private final RandomGenerator random;

	private final DecisionListener listener;

	private final Invariants invariants;

	private final RequestQueue queue;

	private final ConcurrencyLimit concurrency;

	private final Map<RequestId, RunningRequest> running = new HashMap<>();

	private final WorkRate finishedRate = new WorkRate();

	private final Map<PriorityClass, WorkRate> startedRates = new EnumMap<>(PriorityClass.class);

	private double meanNanosPerCost;

	/**
	 * Creates a controller with nothing queued or running.
	 * @param settings the settings
	 * @param weights the weights of the client accounts
	 * @param random adds jitter to the times after which refused callers retry
	 * @param listener receives a record of each request that is refused or shed
	 * @param invariants checks the invariants and counts violations
	 */
	public AdmissionController(AdmissionSettings settings, AccountWeights weights, RandomGenerator random,
			DecisionListener listener, Invariants invariants) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.random = Preconditions.notNull(random, "random");
		this.listener = Preconditions.notNull(listener, "listener");
		this.invariants = Preconditions.notNull(invariants, "invariants");
		this.queue = new RequestQueue(Preconditions.notNull(weights, "weights"));
		this.concurrency = new ConcurrencyLimit(settings);
		for (PriorityClass priority : PriorityClass.values()) {
			this.startedRates.put(priority, new WorkRate());
		}
	}

	/**
	 * Decides whether a new request is started, queued or refused.
	 * @param request the request
	 * @param now the entry's monotonic clock in nanoseconds
	 * @return the decision, and commands for queued requests that it displaces
	 */
	public AdmissionResult offer(AdmissionRequest request, long now) {
		Preconditions.notNull(request, "request");
		boolean known = this.running.containsKey(request.id()) || this.queue.contains(request.id());
		Preconditions.check(!known, "request %s is queued or running already", request.id());
		if (request.deadline() <= now) {
			return AdmissionResult.of(refuse(request, RefusalReason.DEADLINE, 0));
		}
		if (this.queue.size() == 0 && this.running.size() < this.concurrency.limit()) {
			start(request, now);
			return AdmissionResult.of(new Admitted());
		}
		return queueOrRefuse(request, now);
	}

	/**
	 * Records the end of a started request, adapts the concurrency, and starts or sheds
	 * queued requests.
	 * @param id the request
	 * @param kind how it ended
	 * @param now the entry's monotonic clock in nanoseconds
	 * @return commands for queued requests
	 */
	public List<AdmissionCommand> handleFinished(RequestId id, FinishKind kind, long now) {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(kind, "kind");
		RunningRequest ended = this.running.remove(id);
		if (this.invariants.holds(ended != null, "finished-request-was-running", Field.of("request", id))) {
			double cost = ended.request().cost();
			this.finishedRate.add(cost, now);
			double nanosPerCost = (now - ended.startedAt()) / cost;
			this.concurrency.requestEnded(kind, cost, now);
			if (kind == FinishKind.ANSWERED) {
				this.meanNanosPerCost += RUN_TIME_SMOOTHING * (nanosPerCost - this.meanNanosPerCost);
			}
		}
		return tick(now);
	}

	/**
	 * Removes a queued request whose caller no longer waits for it.
	 * @param id the request
	 * @return {@code true} if it was queued
	 */
	public boolean cancel(RequestId id) {
		Preconditions.notNull(id, "id");
		return this.queue.remove(id).isPresent();
	}

	/**
	 * Sheds requests whose time in queue has expired, then starts queued requests up to
	 * the concurrency limit.
	 * @param now the entry's monotonic clock in nanoseconds
	 * @return commands for queued requests
	 */
	public List<AdmissionCommand> tick(long now) {
		if (this.queue.size() == 0) {
			return List.of();
		}
		List<AdmissionCommand> commands = new ArrayList<>();
		Optional<QueuedRequest> ended = this.queue.pollExpired(now);
		while (ended.isPresent()) {
			commands.add(shed(ended.get().request(), RefusalReason.WAITED_IN_VAIN, now));
			ended = this.queue.pollExpired(now);
		}
		while (this.queue.size() > 0 && this.running.size() < this.concurrency.limit()) {
			QueuedRequest queued = this.queue.poll().get();
			start(queued.request(), now);
			commands.add(new StartRequest(queued.request().id(), Duration.ofNanos(now - queued.queuedAt())));
		}
		return commands;
	}

	/**
	 * Returns the number of queued requests.
	 * @return the count
	 */
	public int queued() {
		return this.queue.size();
	}

	/**
	 * Returns the number of running requests.
	 * @return the count
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * Returns the number of requests that may run at one time.
	 * @return the current limit
	 */
	public int concurrency() {
		return this.concurrency.limit();
	}

	private AdmissionResult queueOrRefuse(AdmissionRequest request, long now) {
		long maxWait = this.settings.queueTimeLimits().forClass(request.priority()).toNanos();
		double wait = expectedWait(request, now);
		if (wait > maxWait) {
			return AdmissionResult.of(refuse(request, RefusalReason.WAIT_TOO_LONG, wait - maxWait));
		}
		long latestStart = request.deadline() - (long) (RUN_TIME_MARGIN * this.meanNanosPerCost * request.cost());
		if (now + wait >= latestStart) {
			return AdmissionResult.of(refuse(request, RefusalReason.DEADLINE, wait));
		}
		List<AdmissionCommand> commands = new ArrayList<>(1);
		if (this.queue.size() >= this.settings.maxQueued()) {
			Optional<QueuedRequest> displaced = this.queue.findDisplaceable(request);
			if (displaced.isEmpty()) {
				return AdmissionResult.of(refuse(request, RefusalReason.QUEUE_FULL, wait));
			}
			this.queue.remove(displaced.get().request().id());
			commands.add(shed(displaced.get().request(), RefusalReason.DISPLACED, now));
		}
		long expiresAt = Math.min(now + maxWait, latestStart);
		this.queue.add(request, now, expiresAt);
		return new AdmissionResult(new Queued(expiresAt), commands);
	}

	private void start(AdmissionRequest request, long now) {
		this.running.put(request.id(), new RunningRequest(request, now));
		this.concurrency.requestStarted(request.cost(), now);
		this.startedRates.get(request.priority()).add(request.cost(), now);
	}

	private double expectedWait(AdmissionRequest request, long now) {
		double rate = this.finishedRate.perNano(now);
		if (!this.finishedRate.isKnown() || rate <= 0) {
			return 0;
		}
		double remaining = rate;
		for (PriorityClass priority : PriorityClass.values()) {
			if (priority.compareTo(request.priority()) < 0) {
				remaining -= this.startedRates.get(priority).perNano(now);
			}
		}
		return this.queue.costAhead(request) / Math.max(remaining, MIN_RATE_SHARE * rate);
	}

	private ShedRequest shed(AdmissionRequest request, RefusalReason reason, long now) {
		Refused refused = refuse(request, reason, expectedWait(request, now));
		return new ShedRequest(request.id(), refused.reason(), refused.retryAfter());
	}

	private Refused refuse(AdmissionRequest request, RefusalReason reason, double waitNanos) {
		double jitter = 1 + RETRY_JITTER * this.random.nextDouble();
		double nanos = jitter * Math.max(MIN_RETRY_AFTER_NANOS, Math.min(waitNanos, MAX_RETRY_AFTER_NANOS));
		Duration retryAfter = Duration.ofNanos((long) nanos);
		if (this.listener != DecisionListener.NONE) {
			this.listener.onDecision(DecisionRecord.of(DecisionKind.SHED, request.id().value(), "not-run",
					Field.of("reason", reason), Field.of("class", request.priority()),
					Field.of("client-account", request.account()), Field.of("queued", this.queue.size()),
					Field.of("running", this.running.size()), Field.of("concurrency", this.concurrency.limit()),
					Field.of("retry-after-ms", retryAfter.toMillis())));
		}
		return new Refused(reason, retryAfter);
	}

}
