package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Injects random faults into processes, backend servers and the network.
 */
final class RandomFaults implements Faults, Network {

	private static final int ENTRY_CRASH_ONE_IN = 5_000;

	private static final int SIDECAR_CRASH_ONE_IN = 10_000;

	private static final int BACKEND_CRASH_ONE_IN = 10_000;

	private static final int FIRST_CRASH_ONE_IN = 4;

	private static final int ABORT_ONE_IN = 2_000;

	private static final double LOSS_PROBABILITY = 0.002;

	private static final double DUPLICATION_PROBABILITY = 0.005;

	/** Probability of any delay above the usual one. */
	private static final double LATE_PROBABILITY = 0.01;

	private static final double VERY_LATE_PROBABILITY = 0.001;

	private final RandomGenerator random;

	/** The number of crashes after each kind of event, keyed by process and event. */
	private final Map<String, Integer> crashCounts = new TreeMap<>();

	private boolean partitioned;

	private boolean enabled = true;

	RandomFaults(RandomGenerator random) {
		this.random = random;
	}

	void setPartitioned(boolean enabled) {
		this.partitioned = enabled;
	}

	void disable() {
		this.enabled = false;
		this.partitioned = false;
	}

	Map<String, Integer> crashCounts() {
		return this.crashCounts;
	}

	@Override
	public boolean crashesEntry(Class<?> event) {
		return crashesAfter("entry", event, ENTRY_CRASH_ONE_IN);
	}

	@Override
	public boolean crashesSidecar(Class<?> event) {
		return crashesAfter("sidecar", event, SIDECAR_CRASH_ONE_IN);
	}

	@Override
	public boolean crashesBackend(Class<?> event) {
		return crashesAfter("backend", event, BACKEND_CRASH_ONE_IN);
	}

	@Override
	public boolean abortsAnswer() {
		return this.enabled && this.random.nextInt(ABORT_ONE_IN) == 0;
	}

	@Override
	public Duration answerPartDelay() {
		return Duration.ofNanos(1_000L * this.random.nextInt(500, 10_000));
	}

	@Override
	public List<Duration> deliveryDelays(Node from, Node to) {
		if (isBlackholed(from, to) || isBlackholed(to, from)) {
			return List.of();
		}
		if (!this.enabled) {
			return List.of(usualDelay());
		}
		boolean separated = this.partitioned && from.region() != to.region();
		if (separated || this.random.nextDouble() < LOSS_PROBABILITY) {
			return List.of();
		}
		List<Duration> copies = new ArrayList<>(List.of(randomDelay()));
		if (this.random.nextDouble() < DUPLICATION_PROBABILITY) {
			copies.add(randomDelay());
		}
		return copies;
	}

	private boolean crashesAfter(String node, Class<?> event, int oneIn) {
		// The probability is high until the first crash, so that the run also covers
		// crashes after rare events.
		int crashesSoFar = this.crashCounts.merge(node + ":" + event.getSimpleName(), 0, Integer::sum);
		int currentOneIn = (crashesSoFar == 0) ? FIRST_CRASH_ONE_IN : oneIn;
		boolean crash = this.enabled && this.random.nextInt(currentOneIn) == 0;
		if (crash) {
			this.crashCounts.merge(node + ":" + event.getSimpleName(), 1, Integer::sum);
		}
		return crash;
	}

	private Duration randomDelay() {
		double draw = this.random.nextDouble();
		if (draw < VERY_LATE_PROBABILITY) {
			return Duration.ofMillis(this.random.nextInt(300, 4_000));
		}
		return (draw < LATE_PROBABILITY) ? Duration.ofMillis(this.random.nextInt(5, 100)) : usualDelay();
	}

	private Duration usualDelay() {
		return Duration.ofNanos(1_000L * this.random.nextInt(100, 2_000));
	}

	static boolean isBlackholed(Node one, Node other) {
		return one instanceof EntryNode entry && other instanceof SidecarNode && entry.isBlackholed(other.name());
	}

}
