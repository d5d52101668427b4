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
 * Admits requests to one service at one entry, queues them for a bounded time, and sheds
 * what cannot be answered in time, lowest class first.
 * <p>
 * The number of requests that run at one time follows the time they take. A request that
 * would wait longer than its class allows, or beyond its caller's deadline, is refused at
 * once with the time after which it is expected to get in. Within a class, client
 * accounts are served by weighted fair queueing. Queue and running requests are bounded
 * by the settings. The caller ticks every few milliseconds. Not safe for use by several
 * threads.
 */
public final class AdmissionController {

	private static final long SHORTEST_RETRY_NANOS = 100_000_000;

	private static final long LONGEST_RETRY_NANOS = 30_000_000_000L;

	private static final double RETRY_SPREAD = 0.5;

	private static final double SMALLEST_RATE_SHARE = 0.02;

	private final AdmissionSettings settings;

	private final RandomGenerator random;

	private final DecisionListener listener;

	private final Invariants invariants;

	private final WaitingRequests waiting;

	private final ConcurrencyLimit concurrency;

	private final Map<RequestId, RunningRequest> running = new HashMap<>();

	private final WorkRate finishedRate = new WorkRate();

	private final Map<PriorityClass, WorkRate> startedRates = new EnumMap<>(PriorityClass.class);

	/**
	 * Creates a controller with nothing queued or running.
	 * @param settings the settings
	 * @param weights the weights of the client accounts
	 * @param random spreads the times after which refused callers come back
	 * @param listener receives a record of each request that is refused or shed
	 * @param invariants checks the invariants
	 */
	public AdmissionController(AdmissionSettings settings, AccountWeights weights, RandomGenerator random,
			DecisionListener listener, Invariants invariants) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.random = Preconditions.notNull(random, "random");
		this.listener = Preconditions.notNull(listener, "listener");
		this.invariants = Preconditions.notNull(invariants, "invariants");
		this.waiting = new WaitingRequests(Preconditions.notNull(weights, "weights"));
		this.concurrency = new ConcurrencyLimit(settings);
		for (PriorityClass priority : PriorityClass.values()) {
			this.startedRates.put(priority, new WorkRate());
		}
	}

	/**
	 * Decides on a request that arrived.
	 * @param request the request
	 * @param now the entry's monotonic clock in nanoseconds
	 * @return the decision, and commands for queued requests that have to give way
	 */
	public AdmissionResult offer(AdmissionRequest request, long now) {
		Preconditions.notNull(request, "request");
		boolean known = this.running.containsKey(request.id()) || this.waiting.contains(request.id());
		Preconditions.check(!known, "request %s is queued or running already", request.id());
		if (request.deadline() <= now) {
			return AdmissionResult.of(refuse(request, RefusalReason.DEADLINE, 0));
		}
		if (this.waiting.size() == 0 && this.running.size() < this.concurrency.limit()) {
			start(request, now);
			return AdmissionResult.of(new Admitted());
		}
		return queue(request, now);
	}

	/**
	 * Takes in the end of a started request.
	 * @param id the request
	 * @param kind how it ended
	 * @param now the entry's monotonic clock in nanoseconds
	 * @return commands for queued requests
	 */
	public List<AdmissionCommand> finished(RequestId id, FinishKind kind, long now) {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(kind, "kind");
		RunningRequest ended = this.running.remove(id);
		if (this.invariants.holds(ended != null, "finished-request-was-running", Field.of("request", id))) {
			double cost = ended.request().cost();
			this.finishedRate.add(cost, now);
			this.concurrency.ended(kind, (now - ended.startedAt()) / cost, now);
		}
		return tick(now);
	}

	/**
	 * Takes a queued request out because its caller went away.
	 * @param id the request
	 * @return {@code true} if it was queued
	 */
	public boolean cancel(RequestId id) {
		Preconditions.notNull(id, "id");
		return this.waiting.remove(id).isPresent();
	}

	/**
	 * Sheds requests whose wait has ended and starts those there is room for.
	 * @param now the entry's monotonic clock in nanoseconds
	 * @return commands for queued requests
	 */
	public List<AdmissionCommand> tick(long now) {
		if (this.waiting.size() == 0) {
			return List.of();
		}
		List<AdmissionCommand> commands = new ArrayList<>();
		Optional<QueuedRequest> ended = this.waiting.pollEnded(now);
		while (ended.isPresent()) {
			commands.add(shed(ended.get().request(), RefusalReason.WAITED_IN_VAIN, now));
			ended = this.waiting.pollEnded(now);
		}
		while (this.waiting.size() > 0 && this.running.size() < this.concurrency.limit()) {
			QueuedRequest queued = this.waiting.poll().get();
			start(queued.request(), now);
			commands.add(new StartRequest(queued.request().id(), Duration.ofNanos(now - queued.queuedAt())));
		}
		return commands;
	}

	/**
	 * Returns the number of requests in queue.
	 * @return the count
	 */
	public int queued() {
		return this.waiting.size();
	}

	/**
	 * Returns the number of requests running.
	 * @return the count
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * Returns the number of requests that may run at one time.
	 * @return the present limit
	 */
	public int concurrency() {
		return this.concurrency.limit();
	}

	private AdmissionResult queue(AdmissionRequest request, long now) {
		long bound = this.settings.bounds().of(request.priority()).toNanos();
		double wait = expectedWait(request, now);
		if (wait > bound) {
			return AdmissionResult.of(refuse(request, RefusalReason.WAIT_TOO_LONG, wait - bound));
		}
		if (now + wait >= request.deadline()) {
			return AdmissionResult.of(refuse(request, RefusalReason.DEADLINE, wait));
		}
		List<AdmissionCommand> commands = new ArrayList<>(1);
		if (this.waiting.size() >= this.settings.maxQueued()) {
			Optional<QueuedRequest> displaced = this.waiting.displacedBy(request);
			if (displaced.isEmpty()) {
				return AdmissionResult.of(refuse(request, RefusalReason.QUEUE_FULL, wait));
			}
			this.waiting.remove(displaced.get().request().id());
			commands.add(shed(displaced.get().request(), RefusalReason.DISPLACED, now));
		}
		long until = Math.min(now + bound, request.deadline());
		this.waiting.add(request, now, until);
		return new AdmissionResult(new Queued(until), commands);
	}

	private void start(AdmissionRequest request, long now) {
		this.running.put(request.id(), new RunningRequest(request, now));
		this.concurrency.running(this.running.size());
		this.startedRates.get(request.priority()).add(request.cost(), now);
	}

	private double expectedWait(AdmissionRequest request, long now) {
		double rate = this.finishedRate.perNano(now);
		if (!this.finishedRate.isKnown() || rate <= 0) {
			return 0;
		}
		double left = rate;
		for (PriorityClass priority : PriorityClass.values()) {
			if (priority.compareTo(request.priority()) < 0) {
				left -= this.startedRates.get(priority).perNano(now);
			}
		}
		return this.waiting.costAhead(request) / Math.max(left, SMALLEST_RATE_SHARE * rate);
	}

	private ShedRequest shed(AdmissionRequest request, RefusalReason reason, long now) {
		Refused refused = refuse(request, reason, expectedWait(request, now));
		return new ShedRequest(request.id(), refused.reason(), refused.retryAfter());
	}

	private Refused refuse(AdmissionRequest request, RefusalReason reason, double waitNanos) {
		double spread = 1 + RETRY_SPREAD * this.random.nextDouble();
		double nanos = spread * Math.max(SHORTEST_RETRY_NANOS, Math.min(waitNanos, LONGEST_RETRY_NANOS));
		Duration retryAfter = Duration.ofNanos((long) nanos);
		if (this.listener != DecisionListener.NONE) {
			this.listener.onDecision(DecisionRecord.of(DecisionKind.SHED, request.id().value(), "not-run",
					Field.of("reason", reason), Field.of("class", request.priority()),
					Field.of("client-account", request.account()), Field.of("queued", this.waiting.size()),
					Field.of("running", this.running.size()), Field.of("concurrency", this.concurrency.limit()),
					Field.of("retry-after-ms", retryAfter.toMillis())));
		}
		return new Refused(reason, retryAfter);
	}

}
