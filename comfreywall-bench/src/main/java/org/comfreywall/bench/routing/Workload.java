package org.comfreywall.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.entry.prefix.PromptChain;

/**
 * Generates the requests of a workload. A few large and several small client accounts
 * hold sessions of several turns. The prompts of a session start with one of the shared
 * prefixes of its client account and grow with each turn.
 */
final class Workload {

	static final int BLOCK_TOKENS = 64;

	private static final int LARGE_ACCOUNTS = 3;

	private static final int ACCOUNTS = 10;

	private static final double LARGE_ACCOUNT_SESSION_SHARE = 0.75;

	private static final int LARGE_PREFIXES = 6;

	private static final int SMALL_PREFIXES = 2;

	private static final int MIN_PREFIX_BLOCKS = 8;

	private static final int MAX_PREFIX_BLOCKS = 48;

	private static final double CONTINUE_PROBABILITY = 0.67;

	private static final double MEAN_TURNS = 1 / (1 - CONTINUE_PROBABILITY);

	private static final double MIN_PAUSE_SECONDS = 5;

	private static final double MEAN_EXTRA_PAUSE_SECONDS = 15;

	private static final int MIN_MESSAGE_TOKENS = 30;

	private static final int MAX_MESSAGE_TOKENS = 400;

	private static final int MEAN_OUTPUT_TOKENS = 120;

	private static final int MAX_OUTPUT_TOKENS = 600;

	private final Random random;

	private final int entries;

	private final List<Arrival> arrivals = new ArrayList<>();

	private int sessionCount;

	private Workload(long seed, int entries) {
		this.random = new Random(seed);
		this.entries = entries;
	}

	/**
	 * Generates the requests. Sessions start before time 0, so that the rate of requests
	 * is steady from time 0 on.
	 * @param seed the seed of the random numbers
	 * @param requestsPerSecond the mean rate in requests per second
	 * @param seconds the time in seconds over which requests arrive
	 * @param entries the number of entry instances
	 * @return the requests in order of arrival
	 */
	static List<Arrival> generate(long seed, double requestsPerSecond, int seconds, int entries) {
		Workload workload = new Workload(seed, entries);
		double sessionsPerSecond = requestsPerSecond / MEAN_TURNS;
		double time = -MEAN_TURNS * (MIN_PAUSE_SECONDS + MEAN_EXTRA_PAUSE_SECONDS) * 2;
		while (time < seconds) {
			time += workload.randomExponential(1 / sessionsPerSecond);
			workload.addSession(time, seconds);
		}
		return workload.sortedAndNumbered();
	}

	private List<Arrival> sortedAndNumbered() {
		this.arrivals.sort(Comparator.comparingLong(Arrival::arrivalNanos));
		List<Arrival> numbered = new ArrayList<>(this.arrivals.size());
		for (Arrival arrival : this.arrivals) {
			numbered.add(new Arrival(numbered.size(), arrival.arrivalNanos(), arrival.entry(), arrival.account(),
					arrival.session(), arrival.priority(), arrival.promptTokens(), arrival.prompt(),
					arrival.outputTokens(), arrival.conversation()));
		}
		return numbered;
	}

	private void addSession(double start, int seconds) {
		int session = this.sessionCount++;
		boolean large = this.random.nextDouble() < LARGE_ACCOUNT_SESSION_SHARE;
		int account = large ? this.random.nextInt(LARGE_ACCOUNTS)
				: LARGE_ACCOUNTS + this.random.nextInt(ACCOUNTS - LARGE_ACCOUNTS);
		int prefix = account * LARGE_PREFIXES + this.random.nextInt(large ? LARGE_PREFIXES : SMALL_PREFIXES);
		int prefixBlocks = MIN_PREFIX_BLOCKS + new Random(prefix).nextInt(MAX_PREFIX_BLOCKS - MIN_PREFIX_BLOCKS + 1);
		PriorityClass priority = randomPriority();
		int tokens = prefixBlocks * BLOCK_TOKENS;
		double time = start;
		do {
			tokens += MIN_MESSAGE_TOKENS + this.random.nextInt(MAX_MESSAGE_TOKENS - MIN_MESSAGE_TOKENS + 1);
			int output = (int) Math.min(MAX_OUTPUT_TOKENS, 1 + randomExponential(MEAN_OUTPUT_TOKENS));
			if (time >= 0 && time < seconds) {
				this.arrivals.add(new Arrival(0, (long) (time * 1e9), this.random.nextInt(this.entries),
						AccountId.of("account-" + account), session, priority, tokens,
						promptChain(prefix, prefixBlocks, session, tokens), output,
						promptChain(prefix, prefixBlocks, session, tokens + output)));
			}
			tokens += output;
			time += MIN_PAUSE_SECONDS + randomExponential(MEAN_EXTRA_PAUSE_SECONDS);
		}
		while (this.random.nextDouble() < CONTINUE_PROBABILITY && tokens < 14_000);
	}

	private PriorityClass randomPriority() {
		double draw = this.random.nextDouble();
		if (draw < 0.3) {
			return PriorityClass.INTERACTIVE;
		}
		return (draw < 0.8) ? PriorityClass.STANDARD : PriorityClass.BATCH;
	}

	private double randomExponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private static PromptChain promptChain(int prefix, int prefixBlocks, int session, int tokens) {
		long[] hashes = new long[tokens / BLOCK_TOKENS];
		for (int i = 0; i < hashes.length; i++) {
			long owner = (i < prefixBlocks) ? prefix : session + 1000L;
			hashes[i] = new SplittableRandom((owner << 32) | i).nextLong();
		}
		return PromptChain.of(hashes, BLOCK_TOKENS);
	}

}
