package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.List;

/**
 * The faults of a trace: none but those that the trace names.
 */
final class ScriptedFaults implements Faults, Network {

	private static final Duration DELAY = Duration.ofMillis(1);

	private static final Duration PART_TIME = Duration.ofMillis(5);

	private Duration lateness = Duration.ZERO;

	private boolean cut;

	private boolean doubled;

	void delayMessages(Duration by) {
		this.lateness = by;
	}

	void doubleMessages(boolean enabled) {
		this.doubled = enabled;
	}

	void cut(boolean enabled) {
		this.cut = enabled;
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
	public boolean breaksAnswer() {
		return false;
	}

	@Override
	public Duration partTime() {
		return PART_TIME;
	}

	@Override
	public List<Duration> plan(Node from, Node to) {
		if (RandomFaults.isSilent(from, to) || RandomFaults.isSilent(to, from)) {
			return List.of();
		}
		if (this.cut && from.region() != to.region()) {
			return List.of();
		}
		Duration delay = DELAY.plus(this.lateness);
		return this.doubled ? List.of(delay, delay.plus(DELAY)) : List.of(delay);
	}

}
