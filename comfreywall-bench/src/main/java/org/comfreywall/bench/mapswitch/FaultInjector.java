package org.comfreywall.bench.mapswitch;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.comfreywall.group.mapswitch.ArmSwitch;

/**
 * Kills and isolates coordinators, restarts sidecars, replaces servers and stalls ranks.
 */
final class FaultInjector {

	private static final long SHORTEST_PAUSE_NANOS = Duration.ofMillis(200).toNanos();

	private static final long LONGEST_PAUSE_NANOS = Duration.ofMillis(1500).toNanos();

	private static final long LONGEST_OUTAGE_NANOS = Duration.ofMillis(600).toNanos();

	private static final long STALL_NANOS = Duration.ofMillis(300).toNanos();

	private static final long REQUEST_NANOS = Duration.ofMillis(150).toNanos();

	private static final long SOON_NANOS = Duration.ofMillis(6).toNanos();

	/** One arm order in this many brings a fault soon after. */
	private static final int ARM_ORDERS_PER_FAULT = 40;

	private final SwitchWorld world;

	private final RandomGenerator random;

	private boolean on;

	private long pauseNanos;

	private int weakRank;

	private int elections;

	private int restarts;

	private int replacements;

	private int stalls;

	FaultInjector(SwitchWorld world, RandomGenerator random) {
		this.world = world;
		this.random = random;
	}

	FaultCounts counts() {
		return new FaultCounts(this.elections, this.restarts, this.replacements, this.stalls);
	}

	void start() {
		this.on = true;
		this.weakRank = this.random.nextInt(this.world.ranks());
		this.pauseNanos = this.random.nextLong(SHORTEST_PAUSE_NANOS, LONGEST_PAUSE_NANOS);
		scheduleNext();
		requestSwitches();
	}

	void stop() {
		this.on = false;
		if (!this.world.leader().isAlive()) {
			elect();
		}
		this.world.leader().dieAfter(Long.MAX_VALUE);
	}

	long computeNanos(long usualNanos) {
		if (this.on && this.random.nextInt(2000) == 0) {
			this.stalls++;
			return this.random.nextLong(STALL_NANOS);
		}
		return usualNanos + this.random.nextLong(usualNanos / 4);
	}

	void sending(Object message) {
		if (this.on && message instanceof ArmSwitch && this.random.nextInt(ARM_ORDERS_PER_FAULT) == 0) {
			this.world.queue().after(this.random.nextLong(SOON_NANOS), this::inject);
		}
	}

	private void scheduleNext() {
		this.world.queue().after(this.random.nextLong(this.pauseNanos), () -> {
			if (this.on) {
				scheduleNext();
			}
			inject();
		});
	}

	private void requestSwitches() {
		if (this.on) {
			this.world.requestSwitch();
			this.world.queue().after(REQUEST_NANOS, this::requestSwitches);
		}
	}

	private void inject() {
		if (!this.on) {
			return;
		}
		switch (this.random.nextInt(5)) {
			case 0 -> this.world.leader().dieAfter(this.random.nextInt(80));
			case 1 -> this.world.queue().after(this.random.nextLong(LONGEST_OUTAGE_NANOS), this::electIfDead);
			case 2 -> elect();
			case 3 -> replace();
			default -> restartSidecar();
		}
	}

	private void electIfDead() {
		if (!this.world.leader().isAlive()) {
			elect();
		}
	}

	private void elect() {
		this.elections++;
		this.world.elect();
	}

	private void replace() {
		this.replacements++;
		this.world.replace(anyRank());
	}

	private void restartSidecar() {
		this.restarts++;
		FakeHost host = this.world.host(anyRank());
		host.stopSidecar();
		this.world.queue().after(this.random.nextLong(LONGEST_OUTAGE_NANOS), host::startSidecar);
	}

	private int anyRank() {
		return this.random.nextBoolean() ? this.weakRank : this.random.nextInt(this.world.ranks());
	}

}
