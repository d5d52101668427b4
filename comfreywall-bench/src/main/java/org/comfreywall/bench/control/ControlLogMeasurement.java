package org.comfreywall.bench.control;

import java.lang.management.ManagementFactory;

import com.sun.management.OperatingSystemMXBean;
import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;

/**
 * Measures the latency and rate of group commits with synced files on 3, 5 and 7
 * instances, and estimates the cost of a proposal by linear regression over the number of
 * proposals in a commit group.
 */
public final class ControlLogMeasurement implements Measurement {

	private static final int[] CLUSTER_SIZES = { 3, 5, 7 };

	private static final int[] COMMIT_GROUP_SIZES = { 1, 16, 256, 2048 };

	private static final long DEFAULT_PROPOSALS = 40_000;

	private static final long MIN_PROPOSALS = 300;

	private static final long WARM_UP_PROPOSALS = 2_000;

	/**
	 * Measured proposals for each proposal in a commit group. With a group of one, every
	 * proposal waits for a sync of its own, so fewer proposals are measured.
	 */
	private static final int PROPOSALS_PER_GROUP_MEMBER = 300;

	private static final double TARGET_CLAIMS_PER_SECOND = 33_000;

	private static final double NANOS_PER_SECOND = 1e9;

	@Override
	public void run(BenchOptions options, Reporter reporter) throws Exception {
		long proposals = options.steps(DEFAULT_PROPOSALS);
		for (int size : CLUSTER_SIZES) {
			LinearRegression wall = new LinearRegression();
			LinearRegression processor = new LinearRegression();
			for (int group : COMMIT_GROUP_SIZES) {
				measure(size, group, Math.min(proposals, MIN_PROPOSALS + (long) group * PROPOSALS_PER_GROUP_MEMBER),
						wall, processor, reporter);
			}
			reportSlopes(size, wall, processor, reporter);
		}
	}

	private static void measure(int size, int group, long proposals, LinearRegression wall, LinearRegression processor,
			Reporter reporter) throws Exception {
		try (CommitCluster cluster = new CommitCluster(size, group)) {
			CommitLoad load = new CommitLoad(cluster.awaitLeader(), group);
			load.run(Math.min(proposals, WARM_UP_PROPOSALS));
			long before = processCpuNanos();
			CommitLoadResult result = load.run(proposals);
			double processorPerProposal = (double) (processCpuNanos() - before) / proposals;
			wall.add(group, result.nanosPerProposal() * group);
			processor.add(group, processorPerProposal * group);
			report(size, group, result, processorPerProposal, reporter);
		}
	}

	private static long processCpuNanos() {
		return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
	}

	private static void report(int size, int group, CommitLoadResult result, double processorPerProposal,
			Reporter reporter) {
		reporter.result("control-log", Field.of("instances", size), Field.of("group", group),
				Field.of("proposals", result.count()), Field.of("failed", result.failed()),
				Field.of("p50-ms", result.millisAt(50)), Field.of("p95-ms", result.millisAt(95)),
				Field.of("p99-ms", result.millisAt(99)),
				Field.of("per-second", Math.round(result.proposalsPerSecond())),
				Field.of("processor-us-per-proposal", String.format("%.1f", processorPerProposal / 1e3)));
		reporter.atMost("control-log-failed-" + size + "-" + group, result.failed(), 0);
	}

	// The cost of a commit group is a fixed time for its sync, the intercept, plus a time
	// for each proposal in it, the slope.
	private static void reportSlopes(int size, LinearRegression wall, LinearRegression processor, Reporter reporter) {
		double leaderTimeShare = wall.slope() * TARGET_CLAIMS_PER_SECOND / NANOS_PER_SECOND;
		reporter.result("control-log-slope", Field.of("instances", size),
				Field.of("group-fixed-ms", String.format("%.2f", wall.intercept() / 1e6)),
				Field.of("us-per-proposal", String.format("%.1f", wall.slope() / 1e3)),
				Field.of("processor-us-per-proposal", String.format("%.1f", processor.slope() / 1e3)),
				Field.of("time-share-at-33000-per-second", String.format("%.2f", leaderTimeShare)),
				Field.of("logs-needed-at-33000-per-second", (int) Math.ceil(leaderTimeShare)),
				Field.of("cores-at-33000-per-second",
						String.format("%.2f", processor.slope() * TARGET_CLAIMS_PER_SECOND / NANOS_PER_SECOND)));
	}

}
