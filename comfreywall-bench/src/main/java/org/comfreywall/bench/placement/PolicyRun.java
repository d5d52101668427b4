package org.comfreywall.bench.placement;

import java.util.Arrays;
import java.util.Locale;
import java.util.Random;

import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.group.placement.GroupShape;
import org.comfreywall.group.placement.Placement;
import org.comfreywall.group.placement.StepSkew;
import org.comfreywall.group.straggler.StepTimes;
import org.comfreywall.group.straggler.StragglerDetector;
import org.comfreywall.group.straggler.StragglerSettings;

/**
 * Runs one policy on one simulated load and records the step-time skew and the bytes read
 * from the weight store.
 */
final class PolicyRun {

	/** The number of intervals observed before the first plan. */
	static final int WARM_UP_INTERVALS = 6;

	private static final double GIBIBYTE = 1L << 30;

	/** The standard deviation of a measured step time, relative to the true one. */
	private static final double STEP_TIME_DEVIATION = 0.02;

	private static final double[] FULL_SPEED = new double[PlacementMeasurement.RANKS];

	static {
		Arrays.fill(FULL_SPEED, 1);
	}

	private final GroupShape shape;

	private final StragglerDetector detector;

	private final Random random;

	private final RebalancePolicy policy;

	private final double[] skews;

	private final double[] skewLowerBounds;

	private long readCount;

	private int plansWithMoves;

	PolicyRun(GroupShape shape, RebalancePolicy policy, int intervals, long seed) {
		this.shape = shape;
		this.policy = policy;
		this.random = new Random(seed);
		this.detector = new StragglerDetector(GroupId.of(policy.name()), shape.ranks(), StragglerSettings.DEFAULT,
				DecisionListener.NONE);
		this.skews = new double[intervals];
		this.skewLowerBounds = new double[intervals];
	}

	void run(DriftRun drift, Placement first) {
		for (int interval = 0; interval < WARM_UP_INTERVALS; interval++) {
			this.policy.observe(drift.nextCounts());
		}
		Placement current = first;
		for (int interval = 0; interval < this.skews.length; interval++) {
			Placement next = this.policy.plan(current, this.detector.speeds());
			countReads(current, next);
			current = next;
			double[][] counts = drift.nextCounts();
			this.skews[interval] = StepSkew.of(this.shape, current, counts, drift.speeds());
			this.skewLowerBounds[interval] = StepSkew.lowerBound(this.shape, counts, drift.speeds());
			this.policy.observe(counts);
			this.detector.observe(stepTimes(current, counts, drift.speeds()));
		}
	}

	private StepTimes stepTimes(Placement current, double[][] counts, double[] speeds) {
		double[] loads = new double[this.shape.ranks()];
		for (int layer = 0; layer < this.shape.layers(); layer++) {
			double[] times = current.rankTimes(this.shape, layer, counts[layer], FULL_SPEED);
			Arrays.setAll(loads, (rank) -> loads[rank] + times[rank]);
		}
		double[] busy = new double[loads.length];
		Arrays.setAll(busy,
				(rank) -> loads[rank] / speeds[rank] * (1 + STEP_TIME_DEVIATION * this.random.nextGaussian()));
		return new StepTimes(busy, loads);
	}

	private void countReads(Placement current, Placement next) {
		int readsBefore = (int) this.readCount;
		for (int layer = 0; layer < this.shape.layers(); layer++) {
			for (int position = 0; position < this.shape.ranks() * this.shape.stride(); position++) {
				int expert = next.expert(layer, position);
				boolean read = expert != Placement.EMPTY
						&& !current.holds(this.shape, layer, position / this.shape.stride(), expert);
				this.readCount += read ? 1 : 0;
			}
		}
		this.plansWithMoves += (this.readCount > readsBefore) ? 1 : 0;
	}

	double meanSkew() {
		return Arrays.stream(this.skews).average().orElse(1);
	}

	double p95Skew() {
		double[] sorted = this.skews.clone();
		Arrays.sort(sorted);
		return sorted[(int) Math.ceil(0.95 * sorted.length) - 1];
	}

	double movedGibibytes() {
		return this.readCount * this.shape.expertBytes() / GIBIBYTE;
	}

	void report(Reporter reporter, Drift drift) {
		reporter.result("placement", Field.of("drift", drift.label()), Field.of("policy", this.policy.name()),
				Field.of("skew-mean", decimal(meanSkew())), Field.of("skew-p95", decimal(p95Skew())),
				Field.of("skew-bound-mean", decimal(Arrays.stream(this.skewLowerBounds).average().orElse(1))),
				Field.of("moved-gib", decimal(movedGibibytes())), Field.of("plans-with-moves", this.plansWithMoves));
	}

	private static String decimal(double value) {
		return String.format(Locale.ROOT, "%.4f", value);
	}

}
