package org.comfreywall.bench.overload;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.comfreywall.bench.limits.EventQueue;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;

/**
 * Simulates clients with deadlines that send requests to one service in phases of
 * constant load. A client retries a request that was refused or has timed out.
 */
final class OverloadRun implements AttemptListener {

	static final List<LoadPhase> PHASES = List.of(new LoadPhase("before", 0.7, 10), new LoadPhase("load-1", 1, 20),
			new LoadPhase("load-1.5", 1.5, 20), new LoadPhase("load-2", 2, 20), new LoadPhase("after", 0.7, 30));

	private static final long SECOND_NANOS = 1_000_000_000;

	private static final long ATTEMPT_TIMEOUT_NANOS = 2 * SECOND_NANOS;

	private static final int AVERAGING_SECONDS = 5;

	private static final long RETRY_DELAY_NANOS = SECOND_NANOS / 10;

	private final EventQueue events = new EventQueue();

	private final RandomGenerator random;

	private final int maxAttempts;

	private final ServiceUnderLoad service;

	private final long[] answeredInTimeBySecond = new long[1000];

	private final long[] arrivalsBySecond = new long[1000];

	private final long[] firstAttemptAnswersBySecond = new long[1000];

	private final Map<PriorityClass, long[]> attemptsByPhase = new EnumMap<>(PriorityClass.class);

	private final Map<PriorityClass, long[]> refusalsByPhase = new EnumMap<>(PriorityClass.class);

	private final Set<Long> pendingAttempts = new HashSet<>();

	private long lastAttemptNumber;

	OverloadRun(long seed, boolean admission, int maxAttempts) {
		this.random = new SplittableRandom(seed);
		this.maxAttempts = maxAttempts;
		BackendServerPool pool = new BackendServerPool(this.events);
		this.service = admission
				? new AdmissionControlledService(this.events, pool, this, new SplittableRandom(seed + 1))
				: new FifoService(pool, this);
		for (PriorityClass priority : PriorityClass.values()) {
			this.attemptsByPhase.put(priority, new long[PHASES.size()]);
			this.refusalsByPhase.put(priority, new long[PHASES.size()]);
		}
	}

	void run() {
		long end = 0;
		for (LoadPhase phase : PHASES) {
			end += phase.seconds() * SECOND_NANOS;
			double meanIntervalNanos = 1e9 / (phase.load() * BackendServerPool.capacity());
			double nextArrival = this.events.now();
			while (nextArrival < end) {
				this.events.runUntil((long) nextArrival);
				sendNewRequest();
				nextArrival += -meanIntervalNanos * Math.log(1 - this.random.nextDouble());
			}
		}
		this.events.runUntil(end + 3 * SECOND_NANOS);
	}

	@Override
	public void onAnswered(ClientAttempt attempt) {
		this.pendingAttempts.remove(attempt.number());
		if (this.events.now() <= attempt.deadline()) {
			this.answeredInTimeBySecond[secondAt(this.events.now())]++;
			if (attempt.attemptNumber() == 1) {
				this.firstAttemptAnswersBySecond[secondAt(attempt.firstSentAt())]++;
			}
		}
	}

	@Override
	public void onRefused(ClientAttempt attempt, long retryAfterNanos) {
		this.pendingAttempts.remove(attempt.number());
		this.refusalsByPhase.get(attempt.priority())[phaseAt(this.events.now())]++;
		scheduleRetry(attempt, retryAfterNanos);
	}

	/**
	 * Returns the goodput of a phase. Its first quarter is left out, in which the service
	 * adapts to the load.
	 * @param phase the index of the phase
	 * @return the number of answers within the deadline, per second
	 */
	double goodput(int phase) {
		int skippedSeconds = PHASES.get(phase).seconds() / 4;
		int start = startSecondOf(phase) + skippedSeconds;
		int end = startSecondOf(phase) + PHASES.get(phase).seconds();
		return (double) sum(this.answeredInTimeBySecond, start, end) / (end - start);
	}

	/**
	 * Returns the recovery time: the time from the end of the overload until the goodput,
	 * as a mean over {@value #AVERAGING_SECONDS} seconds, stays at 95% or more of the
	 * goodput before the overload.
	 * @return the time in seconds, or the length of the last phase if the goodput does
	 * not recover
	 */
	int recoverySeconds() {
		int start = startSecondOf(PHASES.size() - 1);
		int length = PHASES.get(PHASES.size() - 1).seconds() - AVERAGING_SECONDS;
		for (int i = length; i >= 0; i--) {
			double mean = (double) sum(this.answeredInTimeBySecond, start + i, start + i + AVERAGING_SECONDS)
					/ AVERAGING_SECONDS;
			if (mean < 0.95 * goodput(0)) {
				return (i == length) ? length + AVERAGING_SECONDS : i + 1;
			}
		}
		return 0;
	}

	/**
	 * Returns the share of the requests first sent in the last phase whose first attempt
	 * was answered within its deadline.
	 * @return the share between 0 and 1
	 */
	double firstAttemptAnsweredShareAfter() {
		int start = startSecondOf(PHASES.size() - 1);
		int end = start + PHASES.get(PHASES.size() - 1).seconds();
		return (double) sum(this.firstAttemptAnswersBySecond, start, end) / sum(this.arrivalsBySecond, start, end);
	}

	/**
	 * Returns the share of the attempts in a phase that were refused or shed.
	 * @param priority the priority class
	 * @param phase the index of the phase
	 * @return the share between 0 and 1
	 */
	double refusedShare(PriorityClass priority, int phase) {
		return (double) this.refusalsByPhase.get(priority)[phase]
				/ Math.max(1, this.attemptsByPhase.get(priority)[phase]);
	}

	private void sendNewRequest() {
		int draw = this.random.nextInt(10);
		PriorityClass priority = (draw < 2) ? PriorityClass.INTERACTIVE
				: (draw < 7) ? PriorityClass.STANDARD : PriorityClass.BATCH;
		boolean large = this.random.nextBoolean();
		AccountId account = AccountId.of(large ? "large" : "small-" + this.random.nextInt(10));
		this.arrivalsBySecond[secondAt(this.events.now())]++;
		sendAttempt(new ClientAttempt(0, account, priority, 1, this.events.now(), 0, randomWorkNanos()));
	}

	private void sendAttempt(ClientAttempt unsent) {
		this.lastAttemptNumber++;
		long deadline = this.events.now() + ATTEMPT_TIMEOUT_NANOS;
		ClientAttempt attempt = new ClientAttempt(this.lastAttemptNumber, unsent.account(), unsent.priority(),
				unsent.attemptNumber(), unsent.firstSentAt(), deadline, unsent.workNanos());
		this.attemptsByPhase.get(attempt.priority())[phaseAt(this.events.now())]++;
		this.pendingAttempts.add(attempt.number());
		this.events.schedule(deadline, () -> handleTimeout(attempt));
		this.service.submit(attempt);
	}

	private void handleTimeout(ClientAttempt attempt) {
		if (this.pendingAttempts.remove(attempt.number())) {
			scheduleRetry(attempt, RETRY_DELAY_NANOS);
		}
	}

	private void scheduleRetry(ClientAttempt attempt, long delayNanos) {
		if (attempt.attemptNumber() < this.maxAttempts) {
			ClientAttempt next = new ClientAttempt(0, attempt.account(), attempt.priority(),
					attempt.attemptNumber() + 1, attempt.firstSentAt(), 0, attempt.workNanos());
			this.events.scheduleAfter(delayNanos, () -> sendAttempt(next));
		}
	}

	private long randomWorkNanos() {
		return (long) (-BackendServerPool.MEAN_WORK_NANOS * Math.log(1 - this.random.nextDouble()));
	}

	private static int secondAt(long now) {
		return (int) (now / SECOND_NANOS);
	}

	private static int startSecondOf(int phase) {
		return PHASES.subList(0, phase).stream().mapToInt(LoadPhase::seconds).sum();
	}

	private static int phaseAt(long now) {
		int phase = 0;
		while (phase < PHASES.size() - 1 && secondAt(now) >= startSecondOf(phase + 1)) {
			phase++;
		}
		return phase;
	}

	private static long sum(long[] values, int from, int to) {
		long sum = 0;
		for (int i = from; i < to; i++) {
			sum += values[i];
		}
		return sum;
	}

}
