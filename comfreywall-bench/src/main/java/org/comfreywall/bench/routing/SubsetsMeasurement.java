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
 * Measures how evenly subset assignment spreads entry instances over backend servers
 * while both join and leave.
 * <p>
 * The load of a backend server is the number of entry instances whose subset contains it.
 */
public final class SubsetsMeasurement implements Measurement {

	private static final int ENTRIES = 1100;

	private static final int SERVERS = 4400;

	private static final int ROUNDS = 60;

	private static final int SERVERS_REPLACED = 20;

	private static final int SERVERS_PER_DOMAIN = SERVERS / 20;

	private static final int DOMAIN_LOSS_ROUND = 30;

	private static final double TARGET_MAX_TO_MEAN = 1.25;

	private final SubsetAssigner assigner = new SubsetAssigner(RouterSettings.DEFAULTS.subsetSize());

	private final List<InstanceId> entries = new ArrayList<>();

	private final List<BackendServerId> servers = new ArrayList<>();

	private int nextId;

	private long assignNanos;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		Random random = new Random(options.seed());
		addEntries(ENTRIES);
		addServers(SERVERS);
		Map<InstanceId, Set<BackendServerId>> before = assignSubsets();
		double worst = report("start", before, before, reporter);
		for (int round = 1; round <= ROUNDS; round++) {
			String change = applyChurn(round, random);
			Map<InstanceId, Set<BackendServerId>> after = assignSubsets();
			worst = Math.max(worst, report(change, before, after, reporter));
			before = after;
		}
		reporter.atMost("subset-max-to-mean", worst, TARGET_MAX_TO_MEAN);
	}

	/**
	 * Adds or removes entry instances and backend servers.
	 * @param round the number of the round, from 1
	 * @param random the source of randomness
	 * @return the name of the change, as it is reported
	 */
	private String applyChurn(int round, Random random) {
		if (round == DOMAIN_LOSS_ROUND) {
			removeRandom(this.servers, SERVERS_PER_DOMAIN, random);
			return "domain-lost";
		}
		if (round % 3 == 0) {
			removeRandom(this.entries, 1, random);
			addEntries(1);
			return "entry-replaced";
		}
		if (round % 3 == 1) {
			removeRandom(this.servers, 1, random);
			return "worker-lost";
		}
		removeRandom(this.servers, SERVERS_REPLACED, random);
		addServers(SERVERS_REPLACED);
		return "workers-replaced";
	}

	private double report(String change, Map<InstanceId, Set<BackendServerId>> before,
			Map<InstanceId, Set<BackendServerId>> after, Reporter reporter) {
		Map<BackendServerId, Integer> loads = new HashMap<>();
		after.values().forEach((subset) -> subset.forEach((server) -> loads.merge(server, 1, Integer::sum)));
		double mean = loads.values().stream().mapToInt(Integer::intValue).sum() / (double) this.servers.size();
		int max = loads.values().stream().mapToInt(Integer::intValue).max().orElse(0);
		int min = this.servers.stream().mapToInt((server) -> loads.getOrDefault(server, 0)).min().orElse(0);
		long belowHalfMean = this.servers.stream().filter((server) -> loads.getOrDefault(server, 0) < mean / 2).count();
		long newConnections = after.entrySet()
			.stream()
			.filter((entry) -> before.containsKey(entry.getKey()))
			.mapToLong((entry) -> entry.getValue()
				.stream()
				.filter((server) -> !before.get(entry.getKey()).contains(server))
				.count())
			.sum();
		reporter.result("subsets", Field.of("change", change), Field.of("workers", this.servers.size()),
				Field.of("max-to-mean", String.format("%.3f", max / mean)),
				Field.of("min-to-mean", String.format("%.3f", min / mean)), Field.of("new-connections", newConnections),
				Field.of("assign-ms", this.assignNanos / 1_000_000));
		return max / mean;
	}

	private Map<InstanceId, Set<BackendServerId>> assignSubsets() {
		long start = System.nanoTime();
		Map<InstanceId, Set<BackendServerId>> subsets = this.assigner.assignAll(this.entries, this.servers);
		this.assignNanos = System.nanoTime() - start;
		return subsets;
	}

	private void addEntries(int count) {
		for (int i = 0; i < count; i++) {
			this.entries.add(InstanceId.of("entry-" + this.nextId++));
		}
	}

	private void addServers(int count) {
		for (int i = 0; i < count; i++) {
			this.servers.add(BackendServerId.of("worker-" + this.nextId++));
		}
	}

	private static void removeRandom(List<?> list, int count, Random random) {
		for (int i = 0; i < count; i++) {
			list.remove(random.nextInt(list.size()));
		}
	}

}
