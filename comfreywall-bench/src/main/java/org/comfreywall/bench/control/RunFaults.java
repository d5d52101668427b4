package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.List;

import org.comfreywall.control.log.TransferRequested;

/**
 * Injects random faults: crashes and restarts instances, fails their syncs, partitions
 * and heals the network, transfers leadership and takes snapshots.
 */
final class RunFaults {

	private static final long MAX_INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

	private static final long MAX_DOWN_NANOS = Duration.ofMillis(400).toNanos();

	private static final long MAX_CUT_NANOS = Duration.ofMillis(900).toNanos();

	private static final int FAULT_KINDS = 11;

	private static final double MAX_LOSS_SHARE = 0.3;

	private final RunWorld world;

	private boolean stopped;

	private long faults;

	RunFaults(RunWorld world) {
		this.world = world;
	}

	long faults() {
		return this.faults;
	}

	void start() {
		this.world.schedule().after(this.world.random().nextLong(MAX_INTERVAL_NANOS), () -> {
			if (!this.stopped) {
				this.faults++;
				injectFault();
				start();
			}
		});
	}

	void stop() {
		this.stopped = true;
		this.world.network().heal();
	}

	private void injectFault() {
		switch (this.world.random().nextInt(FAULT_KINDS)) {
			case 0, 1 -> crash(this.world.anyInstance());
			case 2 -> crash(this.world.anyLeader());
			case 3 -> this.world.anyInstance().failNextSync();
			case 4 -> isolate(this.world.anyLeader());
			case 5 -> partition();
			case 6 -> startMessageLoss();
			case 7 -> this.world.anyLeader().event(new TransferRequested(this.world.anyInstance().id()));
			case 8 -> crashAll();
			case 9 -> this.world.anyInstance().takeSnapshot();
			default -> this.world.network().heal();
		}
	}

	private void startMessageLoss() {
		this.world.network().lossShare(this.world.random().nextDouble() * MAX_LOSS_SHARE);
		healLater();
	}

	private void healLater() {
		this.world.schedule().after(this.world.random().nextLong(MAX_CUT_NANOS), this.world.network()::heal);
	}

	private void crash(RunInstance instance) {
		if (instance.isUp()) {
			instance.crash();
			this.world.schedule().after(this.world.random().nextLong(MAX_DOWN_NANOS), () -> restart(instance));
		}
	}

	// Crashes all instances at once, as a power failure does. They restart together and
	// start elections at about the same time.
	private void crashAll() {
		long down = this.world.random().nextLong(MAX_DOWN_NANOS);
		for (RunInstance instance : List.copyOf(this.world.instances())) {
			instance.crash();
			this.world.schedule().after(down, () -> restart(instance));
		}
	}

	private void restart(RunInstance instance) {
		if (this.world.instances().contains(instance) && !instance.isUp()) {
			instance.start();
		}
	}

	// Cuts the links of an instance in both directions or in one only.
	private void isolate(RunInstance instance) {
		int directions = this.world.random().nextInt(3);
		healLater();
		for (RunInstance other : this.world.instances()) {
			if (directions != 1) {
				this.world.network().cut(instance.id(), other.id());
			}
			if (directions != 2) {
				this.world.network().cut(other.id(), instance.id());
			}
		}
	}

	private void partition() {
		List<RunInstance> all = List.copyOf(this.world.instances());
		healLater();
		int firstSide = this.world.random().nextInt(1 << all.size());
		for (int i = 0; i < all.size(); i++) {
			for (int j = 0; j < all.size(); j++) {
				if ((firstSide >> i & 1) != (firstSide >> j & 1)) {
					this.world.network().cut(all.get(i).id(), all.get(j).id());
				}
			}
		}
	}

}
