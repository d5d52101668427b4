package org.comfreywall.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.entry.prefix.BlockHashes;
import org.comfreywall.entry.prefix.BlocksRemoved;
import org.comfreywall.entry.prefix.BlocksStored;
import org.comfreywall.entry.prefix.CacheSnapshot;
import org.comfreywall.entry.route.LoadReport;
import org.comfreywall.entry.route.QueuedTokens;

/**
 * A model of an engine with continuous batching, chunked prefill, priorities and a
 * limited prefix cache.
 * <p>
 * A step takes a base time, a time for each sequence that decodes and a time for each
 * prompt token computed.
 */
final class Worker {

	static final int SLOTS = 32;

	static final Incarnation LIFE = Incarnation.of(1);

	private static final long STEP_BASE_NANOS = 15_000_000;

	private static final long STEP_SEQUENCE_NANOS = 300_000;

	private static final long STEP_TOKEN_NANOS = 100_000;

	private static final int STEP_MAX_PROMPT_TOKENS = 512;

	private static final int CACHE_BLOCKS = 2000;

	private static final double SMOOTHING = 0.1;

	private final int index;

	private final BackendServerId id;

	private final WorkerListener listener;

	private final WorkerCache cache = new WorkerCache(CACHE_BLOCKS);

	private final PriorityQueue<Sequence> queue = new PriorityQueue<>(
			Comparator.<Sequence, PriorityClass>comparing((sequence) -> sequence.arrival().priority())
				.thenComparingLong(Sequence::order));

	private final List<Sequence> active = new ArrayList<>();

	private final double slowness;

	private long orders;

	private long events;

	private long reports;

	private boolean stepping;

	private long stepStart;

	private int stepTokens;

	private double meanStepNanos = STEP_BASE_NANOS;

	private double prefillTokensPerSecond;

	private long finished;

	private long finishedAtReport;

	private long reportAt;

	private double finishedPerSecond;

	Worker(int index, double slowness, WorkerListener listener) {
		this.index = index;
		this.id = id(index);
		this.slowness = slowness;
		this.listener = listener;
	}

	static BackendServerId id(int index) {
		return BackendServerId.of("worker-" + index);
	}

	void submit(Arrival arrival) {
		this.queue.add(new Sequence(arrival, this.orders++));
	}

	/**
	 * Starts the next step unless one runs or there is nothing to do.
	 * @param now the present time in nanoseconds
	 * @return the step's duration in nanoseconds, 0 if none was started
	 */
	long startStep(long now) {
		if (this.stepping || (this.queue.isEmpty() && this.active.isEmpty())) {
			return 0;
		}
		admit();
		long decoding = this.active.stream().filter(Sequence::isDecoding).count();
		this.stepTokens = computePrompts();
		this.stepping = true;
		this.stepStart = now;
		return (long) (this.slowness
				* (STEP_BASE_NANOS + decoding * STEP_SEQUENCE_NANOS + this.stepTokens * STEP_TOKEN_NANOS));
	}

	void endStep(long now) {
		this.stepping = false;
		long nanos = now - this.stepStart;
		this.meanStepNanos += SMOOTHING * (nanos - this.meanStepNanos);
		if (this.stepTokens == STEP_MAX_PROMPT_TOKENS) {
			double rate = this.stepTokens * 1e9 / nanos;
			this.prefillTokensPerSecond = (this.prefillTokensPerSecond == 0) ? rate
					: this.prefillTokensPerSecond + SMOOTHING * (rate - this.prefillTokensPerSecond);
		}
		this.active.forEach((sequence) -> advance(sequence, now));
		this.active.removeIf(Sequence::isFinished);
		tellCache(now);
	}

	LoadReport report(long now) {
		double seconds = (now - this.reportAt) / 1e9;
		double rate = (seconds > 0) ? (this.finished - this.finishedAtReport) / seconds : 0;
		this.finishedPerSecond += SMOOTHING * (rate - this.finishedPerSecond);
		this.finishedAtReport = this.finished;
		this.reportAt = now;
		return new LoadReport(this.id, LIFE, ++this.reports, now, this.active.size(), this.queue.size(), queuedTokens(),
				(long) this.meanStepNanos, this.prefillTokensPerSecond, this.finishedPerSecond);
	}

	CacheSnapshot snapshot() {
		return new CacheSnapshot(this.id, LIFE, this.events, this.cache.content());
	}

	private void admit() {
		while (this.active.size() < SLOTS && !this.queue.isEmpty()) {
			Sequence sequence = this.queue.poll();
			int blocks = this.cache.matchedBlocks(sequence.arrival().prompt());
			this.cache.use(sequence.arrival().prompt(), blocks);
			sequence.admit(blocks * Workload.BLOCK_TOKENS);
			this.active.add(sequence);
		}
	}

	private int computePrompts() {
		int budget = STEP_MAX_PROMPT_TOKENS;
		for (PriorityClass priority : PriorityClass.values()) {
			for (Sequence sequence : this.active) {
				if (sequence.arrival().priority() == priority) {
					int tokens = Math.min(budget, sequence.remainingTokens());
					sequence.compute(tokens);
					budget -= tokens;
				}
			}
		}
		return STEP_MAX_PROMPT_TOKENS - budget;
	}

	private void advance(Sequence sequence, long now) {
		if (sequence.remainingTokens() > 0) {
			return;
		}
		if (!sequence.isDecoding()) {
			this.cache.use(sequence.arrival().prompt(), sequence.arrival().prompt().size());
			this.listener.onFirstToken(this.index, sequence, now);
		}
		sequence.generate();
		if (sequence.isFinished()) {
			this.finished++;
			this.cache.use(sequence.arrival().conversation(), sequence.arrival().conversation().size());
			this.listener.onFinished(this.index, sequence, now);
		}
	}

	private void tellCache(long now) {
		BlockHashes stored = this.cache.takeStored();
		if (stored.size() > 0) {
			this.listener.onCacheEvent(this.index, new BlocksStored(this.id, LIFE, ++this.events, stored), now);
		}
		BlockHashes removed = this.cache.takeRemoved();
		if (removed.size() > 0) {
			this.listener.onCacheEvent(this.index, new BlocksRemoved(this.id, LIFE, ++this.events, removed), now);
		}
	}

	private QueuedTokens queuedTokens() {
		long[] tokens = new long[PriorityClass.values().length];
		this.queue.forEach((sequence) -> tokens[sequence.arrival().priority().ordinal()] += uncached(sequence));
		this.active
			.forEach((sequence) -> tokens[sequence.arrival().priority().ordinal()] += sequence.remainingTokens());
		return new QueuedTokens(tokens[0], tokens[1], tokens[2]);
	}

	private int uncached(Sequence sequence) {
		Arrival arrival = sequence.arrival();
		return Math.max(1, arrival.promptTokens() - this.cache.matchedBlocks(arrival.prompt()) * Workload.BLOCK_TOKENS);
	}

}
