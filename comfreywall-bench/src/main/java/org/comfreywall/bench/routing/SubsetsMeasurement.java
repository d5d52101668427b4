package org.comfreywall.bench.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.entry.route.RouterSettings;
import org.comfreywall.entry.route.SubsetAssigner;

/**
 * Measures how evenly entries are spread over backend servers while both come and go.
 * <p>
 * The load of a server is the number of entries that use it.
 */
public final class SubsetsMeasurement implements Measurement {

	private static final int ENTRIES = 1100;

	private static final int WORKERS = 4400;

	private static final int ROUNDS = 60;

	private static final int WORKERS_REPLACED = 20;

	private static final int DOMAIN_WORKERS = WORKERS / 20;

	private static final int DOMAIN_ROUND = 30;

	private static final double TARGET_MAX_TO_MEAN = 1.25;

	private final SubsetAssigner assigner = new SubsetAssigner(RouterSettings.DEFAULTS.subsetSize());

	private final List<InstanceId> entries = new ArrayList<>();

	private final List<BackendServerId> workers = new ArrayList<>();

	private int named;

	private long assignNanos;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		Random random = new Random(options.seed());
		addEntries(ENTRIES);
		addWorkers(WORKERS);
		Map<InstanceId, Set<BackendServerId>> before = assign();
		double worst = report("start", before, before, reporter);
		for (int round = 1; round <= ROUNDS; round++) {
			String change = churn(round, random);
			Map<InstanceId, Set<BackendServerId>> after = assign();
			worst = Math.max(worst, report(change, before, after, reporter));
			before = after;
		}
		reporter.atMost("subset-max-to-mean", worst, TARGET_MAX_TO_MEAN);
	}

	private String churn(int round, Random random) {
		if (round == DOMAIN_ROUND) {
			remove(this.workers, DOMAIN_WORKERS, random);
			return "domain-lost";
		}
		if (round % 3 == 0) {
			remove(this.entries, 1, random);
			addEntries(1);
			return "entry-replaced";
		}
		if (round % 3 == 1) {
			remove(this.workers, 1, random);
			return "worker-lost";
		}
		remove(this.workers, WORKERS_REPLACED, random);
		addWorkers(WORKERS_REPLACED);
		return "workers-replaced";
	}

	private double report(String change, Map<InstanceId, Set<BackendServerId>> before,
			Map<InstanceId, Set<BackendServerId>> after, Reporter reporter) {
		Map<BackendServerId, Integer> loads = new HashMap<>();
		after.values().forEach((subset) -> subset.forEach((worker) -> loads.merge(worker, 1, Integer::sum)));
		double mean = loads.values().stream().mapToInt(Integer::intValue).sum() / (double) this.workers.size();
		int max = loads.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int min = this.workers.stream().mapToInt((worker) -> loads.getOrDefault(worker, 0)).min().orElse(0);
		long below = this.workers.stream().filter((worker) -> loads.getOrDefault(worker, 0) < mean / 2).count();
		long moved = after.entrySet()
			.stream()
			.filter((entry) -> before.containsKey(entry.getKey()))
			.mapToLong((entry) -> entry.getValue()
				.stream()
				.filter((worker) -> !before.get(entry.getKey()).contains(worker))
				.count())
			.sum();
		reporter.result("subsets", Field.of("change", change), Field.of("workers", this.workers.size()),
				Field.of("max-to-mean", String.format("%.3f", max / mean)),
				Field.of("min-to-mean", String.format("%.3f", min / mean)), Field.of("new-connections", moved),
				Field.of("assign-ms", this.assignNanos / 1_000_000));
		return max / mean;
	}

	private Map<InstanceId, Set<BackendServerId>> assign() {
		long start = System.nanoTime();
		Map<InstanceId, Set<BackendServerId>> subsets = this.assigner.assignAll(this.entries, this.workers);
		this.assignNanos = System.nanoTime() - start;
		return subsets;
	}

	private void addEntries(int count) {
		for (int i = 0; i < count; i++) {
			this.entries.add(InstanceId.of("entry-" + this.named++));
		}
	}

	private void addWorkers(int count) {
		for (int i = 0; i < count; i++) {
			this.workers.add(BackendServerId.of("worker-" + this.named++));
		}
	}

	private static void remove(List<?> list, int count, Random random) {
		for (int i = 0; i < count; i++) {
			list.remove(random.nextInt(list.size()));
		}
	}

}
