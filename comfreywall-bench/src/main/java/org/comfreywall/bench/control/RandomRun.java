package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.List;

/**
 * A simulation of the replicated log under crashes, network faults and membership
 * changes, seeded to be repeatable.
 */
final class RandomRun {

	private static final long SETTLE_LIMIT_NANOS = Duration.ofSeconds(10).toNanos();

	private final RunWorld world;

	private final RunClients clients;

	private final RunClaimants claimants;

	private final RunFaults faults;

	private final RunRepairs repairs;

	RandomRun(long seed, int instances) {
		this.world = new RunWorld(seed, instances);
		this.clients = new RunClients(this.world);
		this.claimants = new RunClaimants(this.world);
		this.faults = new RunFaults(this.world);
		this.repairs = new RunRepairs(this.world);
	}

	RandomRunResult run(long steps) {
		this.clients.start();
		this.claimants.start();
		this.faults.start();
		this.repairs.start();
		RunSchedule schedule = this.world.schedule();
		while (schedule.steps() < steps && this.world.checker().violations().isEmpty()) {
			schedule.step();
			this.world.checker().leases(this.world.instances());
		}
		checkRecovery(schedule);
		RunChecker checker = this.world.checker();
		return new RandomRunResult(schedule.steps(), checker.terms(), checker.committed(), checker.acknowledged(),
				checker.claims(), this.faults.faults(), this.repairs.repairs(), this.world.invariants().violations(),
				List.copyOf(checker.violations()));
	}

	// Ends the faults and restarts the instances that are down or disabled. Within the
	// limit one instance must hold the leader lease; the checker verifies that it has
	// committed every acknowledged entry.
	private void checkRecovery(RunSchedule schedule) {
		this.faults.stop();
		long end = schedule.now() + SETTLE_LIMIT_NANOS;
		boolean leaderElected = false;
		while (schedule.now() < end && !leaderElected && this.world.checker().violations().isEmpty()) {
			this.world.instances().stream().filter((instance) -> !instance.takesPart()).forEach(RunInstance::restart);
			schedule.step();
			this.world.checker().leases(this.world.instances());
			leaderElected = this.world.instances().stream().anyMatch(RunInstance::holdsLease);
		}
		boolean earlierViolation = !this.world.checker().violations().isEmpty();
		this.world.checker().check(leaderElected || earlierViolation, "a leader is elected after the faults end");
	}

}
