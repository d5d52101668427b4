package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.List;

/**
 * Injects only the network faults that a trace specifies. Crashes in a trace act on the
 * processes directly.
 */
final class ScriptedFaults implements Faults, Network {

	private static final Duration BASE_DELAY = Duration.ofMillis(1);

	private static final Duration PART_TIME = Duration.ofMillis(5);

	private Duration extraDelay = Duration.ZERO;

	private boolean partitioned;

	private boolean duplicating;

	void setExtraDelay(Duration delay) {
		this.extraDelay = delay;
	}

	void setDuplicating(boolean enabled) {
		this.duplicating = enabled;
	}

	void setPartitioned(boolean enabled) {
		this.partitioned = enabled;
	}

	@Override
	public boolean crashesEntry(Class<?> event) {
		return false;
	}

	@Override
	public boolean crashesSidecar(Class<?> event) {
		return false;
	}

	@Override
	public boolean crashesBackend(Class<?> event) {
		return false;
	}

	@Override
	public boolean abortsAnswer() {
		return false;
	}

	@Override
	public Duration answerPartDelay() {
		return PART_TIME;
	}

	@Override
	public List<Duration> deliveryDelays(Node from, Node to) {
		if (RandomFaults.isBlackholed(from, to) || RandomFaults.isBlackholed(to, from)) {
			return List.of();
		}
		if (this.partitioned && from.region() != to.region()) {
			return List.of();
		}
		Duration delay = BASE_DELAY.plus(this.extraDelay);
		return this.duplicating ? List.of(delay, delay.plus(BASE_DELAY)) : List.of(delay);
	}

}
