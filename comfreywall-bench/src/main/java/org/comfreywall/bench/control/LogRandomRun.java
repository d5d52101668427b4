package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.List;

/**
 * A simulation of the replicated log under crashes, network faults and membership
 * changes, seeded to be repeatable.
 */
final class LogRandomRun {

	private static final long SETTLE_LIMIT_NANOS = Duration.ofSeconds(10).toNanos();

	private final SimulatedCluster cluster;

	private final ConfigurationClients configurationClients;

	private final ClaimClients claimClients;

	private final FaultInjector faultInjector;

	private final InstanceReplacer replacer;

	LogRandomRun(long seed, int instances) {
		this.cluster = new SimulatedCluster(seed, instances);
		this.configurationClients = new ConfigurationClients(this.cluster);
		this.claimClients = new ClaimClients(this.cluster);
		this.faultInjector = new FaultInjector(this.cluster);
		this.replacer = new InstanceReplacer(this.cluster);
	}

	LogRandomRunResult run(long steps) {
		this.configurationClients.start();
		this.claimClients.start();
		this.faultInjector.start();
		this.replacer.start();
		EventQueue schedule = this.cluster.schedule();
		while (schedule.steps() < steps && this.cluster.checker().violations().isEmpty()) {
			schedule.runNext();
			this.cluster.checker().checkLeases(this.cluster.instances());
		}
		checkRecovery(schedule);
		SafetyChecker checker = this.cluster.checker();
		return new LogRandomRunResult(schedule.steps(), checker.terms(), checker.committed(), checker.acknowledged(),
				checker.claims(), this.faultInjector.injectedFaults(), this.replacer.replacedInstances(),
				this.cluster.invariants().violations(), List.copyOf(checker.violations()));
	}

	// Ends the faults and restarts the instances that are down or disabled. Within the
	// limit one instance must hold the leader lease; the checker verifies that it has
	// committed every acknowledged entry.
	private void checkRecovery(EventQueue schedule) {
		this.faultInjector.stop();
		long end = schedule.now() + SETTLE_LIMIT_NANOS;
		boolean leaderElected = false;
		while (schedule.now() < end && !leaderElected && this.cluster.checker().violations().isEmpty()) {
			this.cluster.instances()
				.stream()
				.filter((instance) -> !instance.isEnabled())
				.forEach(SimulatedInstance::restart);
			schedule.runNext();
			this.cluster.checker().checkLeases(this.cluster.instances());
			leaderElected = this.cluster.instances().stream().anyMatch(SimulatedInstance::holdsLease);
		}
		boolean earlierViolation = !this.cluster.checker().violations().isEmpty();
		this.cluster.checker().check(leaderElected || earlierViolation, "a leader is elected after the faults end");
	}

}
