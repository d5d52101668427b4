package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.List;

/**
 * A simulation of the replicated log under crashes, network faults and membership
 * changes, seeded to be repeatable.
 */
final class RandomRun {

	private static final long SETTLE_LIMIT_NANOS = Duration.ofSeconds(10).toNanos();

	private final RunWorld cluster;

	private final RunClients configurationClients;

	private final RunClaimants claimClients;

	private final RunFaults faultInjector;

	private final RunRepairs replacer;

	RandomRun(long seed, int instances) {
		this.cluster = new RunWorld(seed, instances);
		this.configurationClients = new RunClients(this.cluster);
		this.claimClients = new RunClaimants(this.cluster);
		this.faultInjector = new RunFaults(this.cluster);
		this.replacer = new RunRepairs(this.cluster);
	}

	RandomRunResult run(long steps) {
		this.configurationClients.start();
		this.claimClients.start();
		this.faultInjector.start();
		this.replacer.start();
		RunSchedule schedule = this.cluster.schedule();
		while (schedule.steps() < steps && this.cluster.checker().violations().isEmpty()) {
			schedule.step();
			this.cluster.checker().leases(this.cluster.instances());
		}
		checkRecovery(schedule);
		RunChecker checker = this.cluster.checker();
		return new RandomRunResult(schedule.steps(), checker.terms(), checker.committed(), checker.acknowledged(),
				checker.claims(), this.faultInjector.faults(), this.replacer.repairs(),
				this.cluster.invariants().violations(), List.copyOf(checker.violations()));
	}

	// Ends the faults and restarts the instances that are down or disabled. Within the
	// limit one instance must hold the leader lease; the checker verifies that it has
	// committed every acknowledged entry.
	private void checkRecovery(RunSchedule schedule) {
		this.faultInjector.stop();
		long end = schedule.now() + SETTLE_LIMIT_NANOS;
		boolean leaderElected = false;
		while (schedule.now() < end && !leaderElected && this.cluster.checker().violations().isEmpty()) {
			this.cluster.instances().stream().filter((instance) -> !instance.takesPart()).forEach(RunInstance::restart);
			schedule.step();
			this.cluster.checker().leases(this.cluster.instances());
			leaderElected = this.cluster.instances().stream().anyMatch(RunInstance::holdsLease);
		}
		boolean earlierViolation = !this.cluster.checker().violations().isEmpty();
		this.cluster.checker().check(leaderElected || earlierViolation, "a leader is elected after the faults end");
	}

}
