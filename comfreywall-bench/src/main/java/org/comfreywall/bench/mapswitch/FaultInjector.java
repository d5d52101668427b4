package org.comfreywall.bench.mapswitch;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.comfreywall.group.mapswitch.ArmSwitch;

/**
 * Injects random faults: crashes coordinators, starts a new coordinator beside the
 * running one, restarts sidecars, replaces servers and stalls ranks.
 */
final class FaultInjector {

	private static final long SHORTEST_PAUSE_NANOS = Duration.ofMillis(200).toNanos();

	private static final long LONGEST_PAUSE_NANOS = Duration.ofMillis(1500).toNanos();

	private static final long MAX_OUTAGE_NANOS = Duration.ofMillis(600).toNanos();

	private static final long MAX_STALL_NANOS = Duration.ofMillis(300).toNanos();

	private static final long SWITCH_REQUEST_INTERVAL_NANOS = Duration.ofMillis(150).toNanos();

	private static final long MAX_FAULT_DELAY_NANOS = Duration.ofMillis(6).toNanos();

	/**
	 * On average, one in this many arm orders is followed by a fault within
	 * {@link #MAX_FAULT_DELAY_NANOS}.
	 */
	private static final int ARM_ORDERS_PER_FAULT = 40;

	private final SwitchSimulation simulation;

	private final RandomGenerator random;

	private boolean active;

	private long maxPauseNanos;

	private int faultProneRank;

	private int elections;

	private int restarts;

	private int replacements;

	private int stalls;

	FaultInjector(SwitchSimulation simulation, RandomGenerator random) {
		this.simulation = simulation;
		this.random = random;
	}

	FaultCounts counts() {
		return new FaultCounts(this.elections, this.restarts, this.replacements, this.stalls);
	}

	void start() {
		this.active = true;
		this.faultProneRank = this.random.nextInt(this.simulation.ranks());
		this.maxPauseNanos = this.random.nextLong(SHORTEST_PAUSE_NANOS, LONGEST_PAUSE_NANOS);
		scheduleFaults();
		requestSwitches();
	}

	void stop() {
		this.active = false;
		if (!this.simulation.currentCoordinator().isAlive()) {
			startCoordinator();
		}
		this.simulation.currentCoordinator().crashAfterCommands(Long.MAX_VALUE);
	}

	long computeNanos(long usualNanos) {
		if (this.active && this.random.nextInt(2000) == 0) {
			this.stalls++;
			return this.random.nextLong(MAX_STALL_NANOS);
		}
		return usualNanos + this.random.nextLong(usualNanos / 4);
	}

	void onSend(Object message) {
		if (this.active && message instanceof ArmSwitch && this.random.nextInt(ARM_ORDERS_PER_FAULT) == 0) {
			this.simulation.queue().schedule(this.random.nextLong(MAX_FAULT_DELAY_NANOS), this::injectFault);
		}
	}

	private void scheduleFaults() {
		this.simulation.queue().schedule(this.random.nextLong(this.maxPauseNanos), () -> {
			if (this.active) {
				scheduleFaults();
			}
			injectFault();
		});
	}

	private void requestSwitches() {
		if (this.active) {
			this.simulation.requestSwitch();
			this.simulation.queue().schedule(SWITCH_REQUEST_INTERVAL_NANOS, this::requestSwitches);
		}
	}

	private void injectFault() {
		if (!this.active) {
			return;
		}
		switch (this.random.nextInt(5)) {
			case 0 -> this.simulation.currentCoordinator().crashAfterCommands(this.random.nextInt(80));
			case 1 -> this.simulation.queue()
				.schedule(this.random.nextLong(MAX_OUTAGE_NANOS), this::replaceCrashedCoordinator);
			case 2 -> startCoordinator();
			case 3 -> replaceServer();
			default -> restartSidecar();
		}
	}

	private void replaceCrashedCoordinator() {
		if (!this.simulation.currentCoordinator().isAlive()) {
			startCoordinator();
		}
	}

	private void startCoordinator() {
		this.elections++;
		this.simulation.startCoordinator();
	}

	private void replaceServer() {
		this.replacements++;
		this.simulation.replaceServer(pickRank());
	}

	private void restartSidecar() {
		this.restarts++;
		FakeHost host = this.simulation.host(pickRank());
		host.stopSidecar();
		this.simulation.queue().schedule(this.random.nextLong(MAX_OUTAGE_NANOS), host::startSidecar);
	}

	private int pickRank() {
		return this.random.nextBoolean() ? this.faultProneRank : this.random.nextInt(this.simulation.ranks());
	}

}
