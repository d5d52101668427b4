package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Random faults of processes, backend servers and the network.
 */
final class RandomFaults implements Faults, Network {

	private static final int ENTRY_CRASH_ONE_IN = 5_000;

	private static final int SIDECAR_CRASH_ONE_IN = 10_000;

	private static final int BACKEND_CRASH_ONE_IN = 10_000;

	private static final int FIRST_CRASH_ONE_IN = 4;

	private static final int BROKEN_ONE_IN = 2_000;

	private static final double LOST = 0.002;

	private static final double DOUBLED = 0.005;

	private static final double LATE = 0.01;

	private static final double VERY_LATE = 0.001;

	private final RandomGenerator random;

	/** Crashes by the kind of event that was handled last. */
	private final Map<String, Integer> crashes = new TreeMap<>();

	private boolean cut;

	private boolean enabled = true;

	RandomFaults(RandomGenerator random) {
		this.random = random;
	}

	void cut(boolean now) {
		this.cut = now;
	}

	void disable() {
		this.enabled = false;
		this.cut = false;
	}

	Map<String, Integer> crashes() {
		return this.crashes;
	}

	@Override
	public boolean crashesEntry(Class<?> event) {
		return crashes("entry", event, ENTRY_CRASH_ONE_IN);
	}

	@Override
	public boolean crashesSidecar(Class<?> event) {
		return crashes("sidecar", event, SIDECAR_CRASH_ONE_IN);
	}

	@Override
	public boolean crashesBackend(Class<?> event) {
		return crashes("backend", event, BACKEND_CRASH_ONE_IN);
	}

	@Override
	public boolean breaksAnswer() {
		return this.enabled && this.random.nextInt(BROKEN_ONE_IN) == 0;
	}

	@Override
	public Duration partTime() {
		return Duration.ofNanos(1_000L * this.random.nextInt(500, 10_000));
	}

	@Override
	public List<Duration> plan(Node from, Node to) {
		if (isSilent(from, to) || isSilent(to, from)) {
			return List.of();
		}
		if (!this.enabled) {
			return List.of(usual());
		}
		boolean apart = this.cut && from.region() != to.region();
		if (apart || this.random.nextDouble() < LOST) {
			return List.of();
		}
		List<Duration> copies = new ArrayList<>(List.of(delay()));
		if (this.random.nextDouble() < DOUBLED) {
			copies.add(delay());
		}
		return copies;
	}

	private boolean crashes(String node, Class<?> event, int oneIn) {
		// A crash follows each kind of event early, also those that arise rarely.
		int seen = this.crashes.merge(node + ":" + event.getSimpleName(), 0, Integer::sum);
		int odds = (seen == 0) ? FIRST_CRASH_ONE_IN : oneIn;
		boolean crash = this.enabled && this.random.nextInt(odds) == 0;
		if (crash) {
			this.crashes.merge(node + ":" + event.getSimpleName(), 1, Integer::sum);
		}
		return crash;
	}

	private Duration delay() {
		double kind = this.random.nextDouble();
		if (kind < VERY_LATE) {
			return Duration.ofMillis(this.random.nextInt(300, 4_000));
		}
		return (kind < LATE) ? Duration.ofMillis(this.random.nextInt(5, 100)) : usual();
	}

	private Duration usual() {
		return Duration.ofNanos(1_000L * this.random.nextInt(100, 2_000));
	}

	static boolean isSilent(Node one, Node other) {
		return one instanceof EntryNode entry && other instanceof SidecarNode && entry.isSilent(other.name());
	}

}
