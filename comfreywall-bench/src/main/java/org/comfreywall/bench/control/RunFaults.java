package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.List;

import org.comfreywall.control.log.TransferRequested;

/**
 * Crashes and restarts instances, fails their syncs, cuts and heals the network, hands
 * leadership over and takes snapshots.
 */
final class RunFaults {

	private static final long INTERVAL_NANOS = Duration.ofMillis(300).toNanos();

	private static final long DOWN_NANOS = Duration.ofMillis(400).toNanos();

	private static final long CUT_NANOS = Duration.ofMillis(900).toNanos();

	private static final int CHOICES = 11;

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
		this.world.schedule().after(this.world.random().nextLong(INTERVAL_NANOS), () -> {
			if (!this.stopped) {
				this.faults++;
				act();
				start();
			}
		});
	}

	void stop() {
		this.stopped = true;
		this.world.network().heal();
	}

	private void act() {
		switch (this.world.random().nextInt(CHOICES)) {
			case 0, 1 -> crash(this.world.anyInstance());
			case 2 -> crash(this.world.anyLeader());
			case 3 -> this.world.anyInstance().failNextSync();
			case 4 -> isolate(this.world.anyLeader());
			case 5 -> partition();
			case 6 -> lose();
			case 7 -> this.world.anyLeader().event(new TransferRequested(this.world.anyInstance().id()));
			case 8 -> crashAll();
			case 9 -> this.world.anyInstance().takeSnapshot();
			default -> this.world.network().heal();
		}
	}

	private void lose() {
		this.world.network().lossShare(this.world.random().nextDouble() * MAX_LOSS_SHARE);
		healLater();
	}

	private void healLater() {
		this.world.schedule().after(this.world.random().nextLong(CUT_NANOS), this.world.network()::heal);
	}

	private void crash(RunInstance instance) {
		if (instance.isUp()) {
			instance.crash();
			this.world.schedule().after(this.world.random().nextLong(DOWN_NANOS), () -> restart(instance));
		}
	}

	// As a power loss does; all stand for election at about the same time afterwards.
	private void crashAll() {
		long down = this.world.random().nextLong(DOWN_NANOS);
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

	// Cuts one instance off, in one direction only at times.
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
		int left = this.world.random().nextInt(1 << all.size());
		for (int i = 0; i < all.size(); i++) {
			for (int j = 0; j < all.size(); j++) {
				if ((left >> i & 1) != (left >> j & 1)) {
					this.world.network().cut(all.get(i).id(), all.get(j).id());
				}
			}
		}
	}

}
