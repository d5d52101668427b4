package org.comfreywall.bench.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.member.MemberView;
import org.comfreywall.control.spread.NodeRole;
import org.comfreywall.control.spread.RelayTreeEvent;

/**
 * Measures dissemination and membership at several fleet sizes. Runs the production cores
 * in virtual time.
 */
public final class ControlSpreadMeasurement implements Measurement {

	private static final int[] SIZES = { 300, 1_100, 2_750, 5_500 };

	private static final int CHANGES_PER_DAY = 4_900;

	/** At {@link #CHANGES_PER_DAY}, three changes take this time. */
	private static final Duration LOAD_WINDOW = Duration.ofSeconds(53);

	private static final int CHANGES_IN_WINDOW = 3;

	private static final double MAX_CORE_SHARE = 0.012;

	private static final double MAX_BYTES_PER_SECOND = 19_000;

	private static final double MAX_SECONDS_UNTIL_IN_FORCE = 6;

	private static final double MAX_LEAVE_SECONDS = 2;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final Duration STEP = Duration.ofMillis(50);

	private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(40);

	private static final int MISSED_CHANGES = 400;

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		warmUp(options.seed());
		LoadBySize loads = new LoadBySize();
		for (int size : SIZES) {
			SizedFleet sized = SizedFleet.startConverged(size, options.seed());
			reporter.result("control-fleet", Field.of("nodes", size), Field.of("holding", sized.countUpToDate()),
					Field.of("live", sized.countLive()));
			measureLoad(sized, size, loads, reporter);
			boolean largest = size == SIZES[SIZES.length - 1];
			measureInForce(sized, size, largest, reporter);
			measureLeave(sized, size, largest, reporter);
			measureRecovery(sized, size, reporter);
			measureDomainFailure(sized, size, reporter);
		}
		loads.report(reporter);
	}

	private static void warmUp(long seed) {
		SizedFleet sized = SizedFleet.startConverged(100, seed);
		sized.fleet().measured(true);
		sized.fleet().run(LOAD_WINDOW.multipliedBy(4));
	}

	private static void measureLoad(SizedFleet sized, int size, LoadBySize loads, Reporter reporter) {
		Fleet fleet = sized.fleet();
		fleet.measured(true);
		fleet.nodes().forEach((node) -> node.traffic().reset());
		for (int i = 0; i < CHANGES_IN_WINDOW; i++) {
			fleet.run(LOAD_WINDOW.dividedBy(CHANGES_IN_WINDOW));
			sized.acceptChange();
		}
		fleet.run(Duration.ofSeconds(1));
		fleet.measured(false);
		reportLoad("leaf", sized, size, (node) -> isLeaf(node), loads, reporter);
		reportLoad("relay", sized, size, (node) -> !isLeaf(node) && !isControl(node), loads, reporter);
		reportLoad("control", sized, size, ControlSpreadMeasurement::isControl, loads, reporter);
	}

	private static boolean isControl(FleetNode node) {
		return node.descriptor().role() == NodeRole.CONTROL;
	}

	private static boolean isLeaf(FleetNode node) {
		return !isControl(node) && SizedFleet.spreadNode(node).childCount() == 0;
	}

	private static void reportLoad(String part, SizedFleet sized, int size, Predicate<FleetNode> selector,
			LoadBySize loads, Reporter reporter) {
		List<Traffic> traffic = sized.fleet().nodes().stream().filter(selector).map(FleetNode::traffic).toList();
		double seconds = LOAD_WINDOW.plusSeconds(1).toNanos() / NANOS_PER_SECOND;
		double bytes = max(traffic, (node) -> node.bytes() / seconds);
		double messages = max(traffic, (node) -> node.messages() / seconds);
		double core = max(traffic, (node) -> node.cpuNanos() / seconds / NANOS_PER_SECOND);
		double messagesIn = max(traffic, (node) -> node.messagesIn() / seconds);
		reporter.result("control-load", Field.of("part", part), Field.of("nodes", size),
				Field.of("count", traffic.size()), Field.of("bytes-per-second-max", round(bytes)),
				Field.of("bytes-per-second-mean", round(mean(traffic, (node) -> node.bytes() / seconds))),
				Field.of("messages-per-second-max", round(messages)),
				Field.of("messages-in-per-second-max", round(messagesIn)),
				Field.of("core-share-max", String.format("%.5f", core)), Field.of("core-share-mean",
						String.format("%.5f", mean(traffic, (node) -> node.cpuNanos() / seconds / NANOS_PER_SECOND))));
		loads.add(part, size, bytes, core);
	}

	private static double max(List<Traffic> traffic, ToDoubleFunction<Traffic> value) {
		return traffic.stream().mapToDouble(value).max().orElse(0);
	}

	private static double mean(List<Traffic> traffic, ToDoubleFunction<Traffic> value) {
		return traffic.stream().mapToDouble(value).average().orElse(0);
	}

	private static long round(double value) {
		return Math.round(value);
	}

	private static void measureInForce(SizedFleet sized, int size, boolean checkTarget, Reporter reporter) {
		double steady = secondsUntilInForce(sized);
		List<InstanceId> relays = new ArrayList<>(sized.fleet()
			.nodes()
			.stream()
			.filter((node) -> !isLeaf(node) && !isControl(node))
			.map(FleetNode::id)
			.toList());
		Collections.shuffle(relays, sized.random());
		List<InstanceId> dead = relays.subList(0, Math.max(1, (relays.size() + 99) / 100));
		dead.forEach(sized.fleet()::crash);
		double withDead = secondsUntilInForce(sized);
		dead.forEach(sized.fleet()::start);
		sized.fleet().run(Duration.ofSeconds(20));
		reporter.result("control-in-force", Field.of("nodes", size), Field.of("relays", relays.size()),
				Field.of("dead-relays", dead.size()), Field.of("seconds", String.format("%.2f", steady)),
				Field.of("seconds-with-dead-relays", String.format("%.2f", withDead)));
		if (checkTarget) {
			reporter.atMost("control-in-force-seconds", withDead, MAX_SECONDS_UNTIL_IN_FORCE);
		}
	}

	private static double secondsUntilInForce(SizedFleet sized) {
		long start = sized.fleet().time().now();
		sized.acceptChange();
		while (sized.countUpToDate() < sized.countLive()
				&& sized.fleet().time().now() - start < CONVERGENCE_TIMEOUT.toNanos()) {
			sized.fleet().run(STEP);
		}
		return (sized.lastInForceAt() - start) / NANOS_PER_SECOND;
	}

	private static void measureLeave(SizedFleet sized, int size, boolean checkTarget, Reporter reporter) {
		Fleet fleet = sized.fleet();
		InstanceId leaver = sized.nodes().get(size - 1);
		long start = fleet.time().now();
		fleet.handle(fleet.node(leaver), new RelayTreeEvent.LeaveRequested());
		List<FleetNode> entries = fleet.nodes()
			.stream()
			.filter((node) -> node.isAlive() && node.descriptor().role() == NodeRole.ENTRY)
			.toList();
		while (countRoutingEntries(entries, leaver) > 0 && fleet.time().now() - start < CONVERGENCE_TIMEOUT.toNanos()) {
			fleet.run(STEP);
		}
		double seconds = (fleet.time().now() - start) / NANOS_PER_SECOND;
		reporter.result("control-leave", Field.of("nodes", size), Field.of("entries", entries.size()),
				Field.of("seconds", String.format("%.2f", seconds)),
				Field.of("still-routing", countRoutingEntries(entries, leaver)));
		if (checkTarget) {
			reporter.atMost("control-leave-seconds", seconds, MAX_LEAVE_SECONDS);
		}
		fleet.crash(leaver);
		fleet.start(leaver);
		fleet.run(Duration.ofSeconds(5));
	}

	private static long countRoutingEntries(List<FleetNode> entries, InstanceId leaver) {
		return entries.stream().filter((entry) -> {
			MemberView view = new MemberView();
			view.apply(SizedFleet.spreadNode(entry).findMemberEntry("m/" + leaver), true);
			return view.isRoutable(leaver);
		}).count();
	}

	private static void measureRecovery(SizedFleet sized, int size, Reporter reporter) {
		Fleet fleet = sized.fleet();
		InstanceId id = sized.nodes().get(size / 2);
		fleet.crash(id);
		for (int i = 0; i < MISSED_CHANGES; i++) {
			sized.acceptChange();
			fleet.run(STEP);
		}
		fleet.run(Duration.ofSeconds(5));
		FleetNode node = fleet.node(id);
		node.traffic().reset();
		fleet.measured(true);
		long start = fleet.time().now();
		fleet.start(id);
		while (!node.inForce().equals(fleet.lastAccepted())
				&& fleet.time().now() - start < CONVERGENCE_TIMEOUT.toNanos()) {
			fleet.run(STEP);
		}
		fleet.measured(false);
		reporter.result("control-recovery", Field.of("nodes", size), Field.of("missed-changes", MISSED_CHANGES),
				Field.of("seconds", String.format("%.2f", (fleet.time().now() - start) / NANOS_PER_SECOND)),
				Field.of("bytes", node.traffic().bytes()), Field.of("messages", node.traffic().messages()));
	}

	private static void measureDomainFailure(SizedFleet sized, int size, Reporter reporter) {
		Fleet fleet = sized.fleet();
		FailureDomainId domain = FailureDomainId.of("domain-11");
		List<InstanceId> failing = sized.nodes()
			.stream()
			.filter((id) -> fleet.node(id).descriptor().domain().equals(domain))
			.toList();
		long versionBefore = memberVersion(fleet);
		failing.forEach(fleet::crash);
		long fails = maxControlMessages(fleet, () -> fleet.run(Duration.ofSeconds(20)));
		long events = memberVersion(fleet) - versionBefore;
		failing.forEach(fleet::start);
		long returns = maxControlMessages(fleet, () -> fleet.run(Duration.ofSeconds(20)));
		long quiet = maxControlMessages(fleet, () -> fleet.run(Duration.ofSeconds(20)));
		reporter.result("control-domain", Field.of("nodes", size), Field.of("domain-size", failing.size()),
				Field.of("member-versions-on-failure", events), Field.of("control-messages-in-20s-of-failure", fails),
				Field.of("control-messages-in-20s-of-return", returns),
				Field.of("control-messages-in-20s-quiet", quiet), Field.of("holding", sized.countUpToDate()),
				Field.of("live", sized.countLive()));
	}

	private static long memberVersion(Fleet fleet) {
		return SizedFleet.spreadNode(fleet.node(fleet.leader().orElseThrow())).memberSnapshot().version().number();
	}

	private static long maxControlMessages(Fleet fleet, Runnable action) {
		fleet.nodes().forEach((node) -> node.traffic().reset());
		fleet.measured(true);
		action.run();
		fleet.measured(false);
		return fleet.nodes()
			.stream()
			.filter(ControlSpreadMeasurement::isControl)
			.mapToLong((node) -> node.traffic().messages())
			.max()
			.orElse(0);
	}

	/**
	 * The highest load of a node in each part of the dissemination tree, by fleet size.
	 * The growth per 1,000 nodes is taken between the second smallest and the largest
	 * size.
	 */
	private static final class LoadBySize {

		private final List<Sample> samples = new ArrayList<>();

		void add(String part, int size, double bytes, double core) {
			this.samples.add(new Sample(part, size, bytes, core));
		}

		void report(Reporter reporter) {
			for (String part : List.of("leaf", "relay", "control")) {
				Sample small = sample(part, SIZES[1]);
				Sample large = sample(part, SIZES[SIZES.length - 1]);
				double nodes = (large.size() - small.size()) / 1_000.0;
				reporter.result("control-slope", Field.of("part", part),
						Field.of("bytes-per-second-per-1000-nodes", round((large.bytes() - small.bytes()) / nodes)),
						Field.of("core-share-per-1000-nodes",
								String.format("%.6f", (large.core() - small.core()) / nodes)),
						Field.of("changes-a-day", CHANGES_PER_DAY));
				reporter.atMost("control-" + part + "-bytes-per-second", large.bytes(), MAX_BYTES_PER_SECOND);
				reporter.atMost("control-" + part + "-core-share", large.core(), MAX_CORE_SHARE);
			}
		}

		private Sample sample(String part, int size) {
			return this.samples.stream()
				.filter((sample) -> sample.part().equals(part) && sample.size() == size)
				.findFirst()
				.orElseThrow();
		}

	}

	private record Sample(String part, int size, double bytes, double core) {

	}

}
