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
 * Callers with deadlines who send their requests again, before one service under load.
 */
final class OverloadRun implements CallerSide {

	static final List<LoadPhase> PHASES = List.of(new LoadPhase("before", 0.7, 10), new LoadPhase("load-1", 1, 20),
			new LoadPhase("load-1.5", 1.5, 20), new LoadPhase("load-2", 2, 20), new LoadPhase("after", 0.7, 30));

	private static final long SECOND = 1_000_000_000;

	private static final long PATIENCE_NANOS = 2 * SECOND;

	private static final int MEAN_SECONDS = 5;

	private static final long RESEND_NANOS = SECOND / 10;

	private final EventQueue events = new EventQueue();

	private final RandomGenerator random;

	private final int maxSends;

	private final ServiceUnderLoad service;

	private final long[] answered = new long[1000];

	private final long[] arrived = new long[1000];

	private final long[] answeredFirst = new long[1000];

	private final Map<PriorityClass, long[]> sends = new EnumMap<>(PriorityClass.class);

	private final Map<PriorityClass, long[]> refusals = new EnumMap<>(PriorityClass.class);

	private final Set<Long> open = new HashSet<>();

	private long number;

	OverloadRun(long seed, boolean admission, int maxSends) {
		this.random = new SplittableRandom(seed);
		this.maxSends = maxSends;
		BackendPool pool = new BackendPool(this.events);
		this.service = admission ? new AdmittedService(this.events, pool, this, new SplittableRandom(seed + 1))
				: new FifoService(pool, this);
		for (PriorityClass priority : PriorityClass.values()) {
			this.sends.put(priority, new long[PHASES.size()]);
			this.refusals.put(priority, new long[PHASES.size()]);
		}
	}

	void run() {
		long end = 0;
		for (LoadPhase phase : PHASES) {
			end += phase.seconds() * SECOND;
			double gap = 1e9 / (phase.load() * BackendPool.capacity());
			double next = this.events.now();
			while (next < end) {
				this.events.runUntil((long) next);
				arrive();
				next += -gap * Math.log(1 - this.random.nextDouble());
			}
		}
		this.events.runUntil(end + 3 * SECOND);
	}

	@Override
	public void answered(SentRequest request) {
		this.open.remove(request.number());
		if (this.events.now() <= request.deadline()) {
			this.answered[second(this.events.now())]++;
			if (request.send() == 1) {
				this.answeredFirst[second(request.arrivedAt())]++;
			}
		}
	}

	@Override
	public void refused(SentRequest request, long retryAfterNanos) {
		this.open.remove(request.number());
		this.refusals.get(request.priority())[phaseAt(this.events.now())]++;
		sendAgain(request, retryAfterNanos);
	}

	/**
	 * Returns the answers in time a second of a phase, without its first seconds.
	 * @param phase the phase's index
	 * @return the goodput
	 */
	double goodput(int phase) {
		int settle = PHASES.get(phase).seconds() / 4;
		int start = startOf(phase) + settle;
		int end = startOf(phase) + PHASES.get(phase).seconds();
		return (double) sum(this.answered, start, end) / (end - start);
	}

	/**
	 * Returns the time after the storm from which on the goodput, as a mean over
	 * {@value #MEAN_SECONDS} seconds, stays above 95% of the goodput before it.
	 * @return the time in seconds, or the length of the last phase if that never happens
	 */
	int recoverySeconds() {
		int start = startOf(PHASES.size() - 1);
		int length = PHASES.get(PHASES.size() - 1).seconds() - MEAN_SECONDS;
		for (int i = length; i >= 0; i--) {
			double mean = (double) sum(this.answered, start + i, start + i + MEAN_SECONDS) / MEAN_SECONDS;
			if (mean < 0.95 * goodput(0)) {
				return (i == length) ? length + MEAN_SECONDS : i + 1;
			}
		}
		return 0;
	}

	/**
	 * Returns the share of the requests first sent in the last phase that were answered
	 * in time at once.
	 * @return the share
	 */
	double answeredAtOnceAfter() {
		int start = startOf(PHASES.size() - 1);
		int end = start + PHASES.get(PHASES.size() - 1).seconds();
		return (double) sum(this.answeredFirst, start, end) / sum(this.arrived, start, end);
	}

	double refusedShare(PriorityClass priority, int phase) {
		return (double) this.refusals.get(priority)[phase] / Math.max(1, this.sends.get(priority)[phase]);
	}

	private void arrive() {
		int draw = this.random.nextInt(10);
		PriorityClass priority = (draw < 2) ? PriorityClass.INTERACTIVE
				: (draw < 7) ? PriorityClass.STANDARD : PriorityClass.BATCH;
		boolean large = this.random.nextBoolean();
		AccountId account = AccountId.of(large ? "large" : "small-" + this.random.nextInt(10));
		this.arrived[second(this.events.now())]++;
		send(new SentRequest(0, account, priority, 1, this.events.now(), 0, work()));
	}

	private void send(SentRequest request) {
		this.number++;
		long deadline = this.events.now() + PATIENCE_NANOS;
		SentRequest sent = new SentRequest(this.number, request.account(), request.priority(), request.send(),
				request.arrivedAt(), deadline, request.work());
		this.sends.get(sent.priority())[phaseAt(this.events.now())]++;
		this.open.add(sent.number());
		this.events.at(deadline, () -> expire(sent));
		this.service.send(sent);
	}

	private void expire(SentRequest request) {
		if (this.open.remove(request.number())) {
			sendAgain(request, RESEND_NANOS);
		}
	}

	private void sendAgain(SentRequest request, long delayNanos) {
		if (request.send() < this.maxSends) {
			SentRequest next = new SentRequest(0, request.account(), request.priority(), request.send() + 1,
					request.arrivedAt(), 0, request.work());
			this.events.after(delayNanos, () -> send(next));
		}
	}

	private long work() {
		return (long) (-BackendPool.MEAN_WORK_NANOS * Math.log(1 - this.random.nextDouble()));
	}

	private static int second(long now) {
		return (int) (now / SECOND);
	}

	private static int startOf(int phase) {
		return PHASES.subList(0, phase).stream().mapToInt(LoadPhase::seconds).sum();
	}

	private static int phaseAt(long now) {
		int phase = 0;
		while (phase < PHASES.size() - 1 && second(now) >= startOf(phase + 1)) {
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
