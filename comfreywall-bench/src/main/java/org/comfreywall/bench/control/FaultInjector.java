package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.List;

import org.comfreywall.control.log.TransferRequested;

/**
 * Injects random faults: crashes and restarts instances, fails their syncs, partitions
 * and heals the network, transfers leadership and takes snapshots.
 */
final class FaultInjector {

	private static final long MAX_INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

	private static final long MAX_DOWN_NANOS = Duration.ofMillis(400).toNanos();

	private static final long MAX_CUT_NANOS = Duration.ofMillis(900).toNanos();

	private static final int FAULT_KINDS = 11;

	private static final double MAX_LOSS_SHARE = 0.3;

	private final SimulatedCluster cluster;

	private boolean stopped;

	private long injectedFaults;

	FaultInjector(SimulatedCluster cluster) {
		this.cluster = cluster;
	}

	long injectedFaults() {
		return this.injectedFaults;
	}

	void start() {
		this.cluster.schedule().after(this.cluster.random().nextLong(MAX_INTERVAL_NANOS), () -> {
			if (!this.stopped) {
				this.injectedFaults++;
				injectFault();
				start();
			}
		});
	}

	void stop() {
		this.stopped = true;
		this.cluster.network().heal();
	}

	private void injectFault() {
		switch (this.cluster.random().nextInt(FAULT_KINDS)) {
			case 0, 1 -> crash(this.cluster.randomInstance());
			case 2 -> crash(this.cluster.randomLeader());
			case 3 -> this.cluster.randomInstance().failNextSync();
			case 4 -> isolate(this.cluster.randomLeader());
			case 5 -> partition();
			case 6 -> startMessageLoss();
			case 7 -> this.cluster.randomLeader().process(new TransferRequested(this.cluster.randomInstance().id()));
			case 8 -> crashAll();
			case 9 -> this.cluster.randomInstance().takeSnapshot();
			default -> this.cluster.network().heal();
		}
	}

	private void startMessageLoss() {
		this.cluster.network().lossShare(this.cluster.random().nextDouble() * MAX_LOSS_SHARE);
		healLater();
	}

	private void healLater() {
		this.cluster.schedule().after(this.cluster.random().nextLong(MAX_CUT_NANOS), this.cluster.network()::heal);
	}

	private void crash(SimulatedInstance instance) {
		if (instance.isUp()) {
			instance.crash();
			this.cluster.schedule().after(this.cluster.random().nextLong(MAX_DOWN_NANOS), () -> restart(instance));
		}
	}

	// Crashes all instances at once, as a power failure does. They restart together and
	// start elections at about the same time.
	private void crashAll() {
		long down = this.cluster.random().nextLong(MAX_DOWN_NANOS);
		for (SimulatedInstance instance : List.copyOf(this.cluster.instances())) {
			instance.crash();
			this.cluster.schedule().after(down, () -> restart(instance));
		}
	}

	private void restart(SimulatedInstance instance) {
		if (this.cluster.instances().contains(instance) && !instance.isUp()) {
			instance.start();
		}
	}

	// Cuts the links of an instance in both directions or in one only.
	private void isolate(SimulatedInstance instance) {
		int directions = this.cluster.random().nextInt(3);
		healLater();
		for (SimulatedInstance other : this.cluster.instances()) {
			if (directions != 1) {
				this.cluster.network().cut(instance.id(), other.id());
			}
			if (directions != 2) {
				this.cluster.network().cut(other.id(), instance.id());
			}
		}
	}

	private void partition() {
		List<SimulatedInstance> all = List.copyOf(this.cluster.instances());
		healLater();
		int firstSide = this.cluster.random().nextInt(1 << all.size());
		for (int i = 0; i < all.size(); i++) {
			for (int j = 0; j < all.size(); j++) {
				if ((firstSide >> i & 1) != (firstSide >> j & 1)) {
					this.cluster.network().cut(all.get(i).id(), all.get(j).id());
				}
			}
		}
	}

}
