package org.comfreywall.bench.control;

import java.lang.management.ManagementFactory;

import com.sun.management.OperatingSystemMXBean;
import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Measures the latency and throughput of proposals to clusters of 3, 5 and 7 control
 * instances that use group commit and sync their files, and estimates the cost of a
 * proposal by linear regression over the batch size. Each load keeps as many proposals in
 * flight as the maximum batch size, and the regression takes this as the number of
 * proposals in a batch.
 */
public final class ControlLogMeasurement implements Measurement {

	private static final int[] CLUSTER_SIZES = { 3, 5, 7 };

	private static final int[] BATCH_SIZES = { 1, 16, 256, 2048 };

	private static final long DEFAULT_MAX_PROPOSALS = 40_000;

	private static final long BASE_PROPOSALS = 300;

	private static final long WARM_UP_PROPOSALS = 2_000;

	/**
	 * The number of measured proposals per unit of the batch size. Small batches need
	 * more syncs for the same number of proposals, up to one sync for each proposal, so
	 * fewer proposals are measured.
	 */
	private static final int PROPOSALS_PER_BATCH_SLOT = 300;

	/** The target rate of claims; each claim is one proposal. */
	private static final double TARGET_PROPOSALS_PER_SECOND = 33_000;

	private static final double NANOS_PER_SECOND = 1e9;

	@Override
	public void run(BenchOptions options, Reporter reporter) throws Exception {
		long maxProposals = options.steps(DEFAULT_MAX_PROPOSALS);
		for (int clusterSize : CLUSTER_SIZES) {
			LinearRegression elapsedPerBatch = new LinearRegression();
			LinearRegression cpuPerBatch = new LinearRegression();
			for (int batchSize : BATCH_SIZES) {
				measure(clusterSize, batchSize,
						Math.min(maxProposals, BASE_PROPOSALS + (long) batchSize * PROPOSALS_PER_BATCH_SLOT),
						elapsedPerBatch, cpuPerBatch, reporter);
			}
			reportSlopes(clusterSize, elapsedPerBatch, cpuPerBatch, reporter);
		}
	}

	private static void measure(int clusterSize, int batchSize, long proposals, LinearRegression elapsedPerBatch,
			LinearRegression cpuPerBatch, Reporter reporter) throws Exception {
		try (CommitCluster cluster = new CommitCluster(clusterSize, batchSize)) {
			CommitLoad load = new CommitLoad(cluster.awaitLeader(), batchSize);
			load.run(Math.min(proposals, WARM_UP_PROPOSALS));
			long cpuNanosBefore = processCpuNanos();
			CommitLoadResult result = load.run(proposals);
			// CPU time of all instances and of the load, which run in this process.
			double cpuNanosPerProposal = (double) (processCpuNanos() - cpuNanosBefore) / proposals;
			elapsedPerBatch.add(batchSize, result.nanosPerProposal() * batchSize);
			cpuPerBatch.add(batchSize, cpuNanosPerProposal * batchSize);
			report(clusterSize, batchSize, result, cpuNanosPerProposal, reporter);
		}
	}

	private static long processCpuNanos() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

	private static void report(int clusterSize, int batchSize, CommitLoadResult result, double cpuNanosPerProposal,
			Reporter reporter) {
		reporter.result("control-log", Field.of("instances", clusterSize), Field.of("group", batchSize),
				Field.of("proposals", result.count()), Field.of("failed", result.failed()),
				Field.of("p50-ms", result.millisAt(50)), Field.of("p95-ms", result.millisAt(95)),
				Field.of("p99-ms", result.millisAt(99)),
				Field.of("per-second", Math.round(result.proposalsPerSecond())),
				Field.of("processor-us-per-proposal", String.format("%.1f", cpuNanosPerProposal / 1e3)));
		reporter.atMost("control-log-failed-" + clusterSize + "-" + batchSize, result.failed(), 0);
	}

	// Models the time of a batch as linear in its size: the intercept is the fixed
	// time of a sync, the slope the time for each proposal.
	private static void reportSlopes(int clusterSize, LinearRegression elapsedPerBatch, LinearRegression cpuPerBatch,
			Reporter reporter) {
		// The time that the leader of one log would need for the target rate, without
		// the fixed time of syncs, as a share of real time. Above 1, the load must be
		// split over several logs.
		double leaderTimeShare = elapsedPerBatch.slope() * TARGET_PROPOSALS_PER_SECOND / NANOS_PER_SECOND;
		reporter.result("control-log-slope", Field.of("instances", clusterSize),
				Field.of("group-fixed-ms", String.format("%.2f", elapsedPerBatch.intercept() / 1e6)),
				Field.of("us-per-proposal", String.format("%.1f", elapsedPerBatch.slope() / 1e3)),
				Field.of("processor-us-per-proposal", String.format("%.1f", cpuPerBatch.slope() / 1e3)),
				Field.of("time-share-at-33000-per-second", String.format("%.2f", leaderTimeShare)),
				Field.of("logs-needed-at-33000-per-second", (int) Math.ceil(leaderTimeShare)),
				Field.of("cores-at-33000-per-second",
						String.format("%.2f", cpuPerBatch.slope() * TARGET_PROPOSALS_PER_SECOND / NANOS_PER_SECOND)));
	}

}
