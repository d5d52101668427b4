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
 * Simulates a backend server whose engine has continuous batching, chunked prefill,
 * request priorities and a prefix cache of limited size.
 * <p>
 * The duration of a step is the sum of a base time, a time per decoding sequence and a
 * time per prompt token that is prefilled in the step.
 */
final class SimulatedServer {

	static final int SLOTS = 32;

	static final Incarnation INCARNATION = Incarnation.of(1);

	private static final long STEP_BASE_NANOS = 15_000_000;

	private static final long NANOS_PER_DECODING_SEQUENCE = 300_000;

	private static final long NANOS_PER_PROMPT_TOKEN = 100_000;

	private static final int MAX_PROMPT_TOKENS_PER_STEP = 512;

	private static final int CACHE_BLOCKS = 2000;

	private static final double SMOOTHING_FACTOR = 0.1;

	private final int index;

	private final BackendServerId id;

	private final ServerListener listener;

	private final ServerPrefixCache cache = new ServerPrefixCache(CACHE_BLOCKS);

	private final PriorityQueue<Sequence> queue = new PriorityQueue<>(
			Comparator.<Sequence, PriorityClass>comparing((sequence) -> sequence.arrival().priority())
				.thenComparingLong(Sequence::submissionOrder));

	private final List<Sequence> active = new ArrayList<>();

	private final double slowdownFactor;

	private long nextOrder;

	private long cacheEventSequence;

	private long reportSequence;

	private boolean stepping;

	private long stepStart;

	private int stepPromptTokens;

	private double meanStepNanos = STEP_BASE_NANOS;

	private double prefillTokensPerSecond;

	private long finished;

	private long finishedAtLastReport;

	private long lastReportAt;

	private double finishedPerSecond;

	SimulatedServer(int index, double slowdownFactor, ServerListener listener) {
		this.index = index;
		this.id = id(index);
		this.slowdownFactor = slowdownFactor;
		this.listener = listener;
	}

	static BackendServerId id(int index) {
		return BackendServerId.of("worker-" + index);
	}

	void submit(Arrival arrival) {
		this.queue.add(new Sequence(arrival, this.nextOrder++));
	}

	/**
	 * Admits queued requests to the batch and starts the next step, unless a step is
	 * running or there are no requests.
	 * @param now the current time in nanoseconds
	 * @return the duration of the step in nanoseconds, 0 if none was started
	 */
	long startStep(long now) {
		if (this.stepping || (this.queue.isEmpty() && this.active.isEmpty())) {
			return 0;
		}
		admitQueued();
		long decoding = this.active.stream().filter(Sequence::isDecoding).count();
		this.stepPromptTokens = prefill();
		this.stepping = true;
		this.stepStart = now;
		return (long) (this.slowdownFactor * (STEP_BASE_NANOS + decoding * NANOS_PER_DECODING_SEQUENCE
				+ this.stepPromptTokens * NANOS_PER_PROMPT_TOKEN));
	}

	/**
	 * Ends the running step: updates the moving averages, generates one token for each
	 * sequence without remaining prompt tokens and sends the changes of the prefix cache
	 * to the listener.
	 * @param now the current time in nanoseconds
	 */
	void endStep(long now) {
		this.stepping = false;
		long nanos = now - this.stepStart;
		this.meanStepNanos += SMOOTHING_FACTOR * (nanos - this.meanStepNanos);
		if (this.stepPromptTokens == MAX_PROMPT_TOKENS_PER_STEP) {
			double rate = this.stepPromptTokens * 1e9 / nanos;
			this.prefillTokensPerSecond = (this.prefillTokensPerSecond == 0) ? rate
					: this.prefillTokensPerSecond + SMOOTHING_FACTOR * (rate - this.prefillTokensPerSecond);
		}
		this.active.forEach((sequence) -> advance(sequence, now));
		this.active.removeIf(Sequence::isFinished);
		publishCacheEvents(now);
	}

	/**
	 * Creates the next load report and updates the moving average of the request
	 * throughput.
	 * @param now the current time in nanoseconds
	 * @return the load report
	 */
	LoadReport createLoadReport(long now) {
		double seconds = (now - this.lastReportAt) / 1e9;
		double rate = (seconds > 0) ? (this.finished - this.finishedAtLastReport) / seconds : 0;
		this.finishedPerSecond += SMOOTHING_FACTOR * (rate - this.finishedPerSecond);
		this.finishedAtLastReport = this.finished;
		this.lastReportAt = now;
		return new LoadReport(this.id, INCARNATION, ++this.reportSequence, now, this.active.size(), this.queue.size(),
				queuedTokens(), (long) this.meanStepNanos, this.prefillTokensPerSecond, this.finishedPerSecond);
	}

	CacheSnapshot snapshot() {
		return new CacheSnapshot(this.id, INCARNATION, this.cacheEventSequence, this.cache.blockHashes());
	}

	private void admitQueued() {
		while (this.active.size() < SLOTS && !this.queue.isEmpty()) {
			Sequence sequence = this.queue.poll();
			int blocks = this.cache.countMatchingBlocks(sequence.arrival().prompt());
			this.cache.storeOrRefresh(sequence.arrival().prompt(), blocks);
			sequence.startPrefill(blocks * Workload.BLOCK_TOKENS);
			this.active.add(sequence);
		}
	}

	private int prefill() {
		int budget = MAX_PROMPT_TOKENS_PER_STEP;
		for (PriorityClass priority : PriorityClass.values()) {
			for (Sequence sequence : this.active) {
				if (sequence.arrival().priority() == priority) {
					int tokens = Math.min(budget, sequence.remainingPromptTokens());
					sequence.recordPrefilled(tokens);
					budget -= tokens;
				}
			}
		}
		return MAX_PROMPT_TOKENS_PER_STEP - budget;
	}

	private void advance(Sequence sequence, long now) {
		if (sequence.remainingPromptTokens() > 0) {
			return;
		}
		if (!sequence.isDecoding()) {
			this.cache.storeOrRefresh(sequence.arrival().prompt(), sequence.arrival().prompt().size());
			this.listener.onFirstToken(this.index, sequence, now);
		}
		sequence.generateToken();
		if (sequence.isFinished()) {
			this.finished++;
			this.cache.storeOrRefresh(sequence.arrival().conversation(), sequence.arrival().conversation().size());
			this.listener.onFinished(this.index, sequence, now);
		}
	}

	private void publishCacheEvents(long now) {
		BlockHashes stored = this.cache.drainStored();
		if (stored.size() > 0) {
			this.listener.onCacheEvent(this.index,
					new BlocksStored(this.id, INCARNATION, ++this.cacheEventSequence, stored), now);
		}
		BlockHashes removed = this.cache.drainRemoved();
		if (removed.size() > 0) {
			this.listener.onCacheEvent(this.index,
					new BlocksRemoved(this.id, INCARNATION, ++this.cacheEventSequence, removed), now);
		}
	}

	/**
	 * Returns the prompt tokens that are still to be prefilled, by priority class.
	 * Prefixes cached at present are left out for queued requests.
	 * @return the numbers of tokens
	 */
	private QueuedTokens queuedTokens() {
		long[] tokens = new long[PriorityClass.values().length];
		this.queue.forEach((sequence) -> tokens[sequence.arrival().priority().ordinal()] += uncachedTokens(sequence));
		this.active
			.forEach((sequence) -> tokens[sequence.arrival().priority().ordinal()] += sequence.remainingPromptTokens());
		return new QueuedTokens(tokens[0], tokens[1], tokens[2]);
	}

	private int uncachedTokens(Sequence sequence) {
		Arrival arrival = sequence.arrival();
		return Math.max(1,
				arrival.promptTokens() - this.cache.countMatchingBlocks(arrival.prompt()) * Workload.BLOCK_TOKENS);
	}

}
