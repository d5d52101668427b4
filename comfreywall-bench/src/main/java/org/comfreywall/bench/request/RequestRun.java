package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.control.ledger.PoisonEntry;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.sidecar.attempt.AttemptEvent;

/**
 * Simulates entries, sidecars and ledgers under random faults and checks the safety rules
 * of request handling.
 */
public final class RequestRun implements Measurement {

	/** The number of submissions if the options set none. */
	static final long DEFAULT_STEPS = 120_000;

	/** The time after the last new operation in which all submissions must end. */
	private static final Duration SETTLE_TIME = Duration.ofSeconds(30);

	private static final Duration TIME_SLICE = Duration.ofSeconds(1);

	private RandomFaults faults;

	private RandomGenerator random;

	private Simulation simulation;

	private RandomCallers callers;

	private final RuleChecker ruleChecker = new RuleChecker();

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		run(options.seed(), options.steps(DEFAULT_STEPS));
		report(options.seed(), reporter);
	}

	void run(long seed, long steps) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.faults = new RandomFaults(this.random);
		this.simulation = new Simulation(this.faults, this.ruleChecker, this.faults);
		List.of("e1", "e2", "e3").forEach((name) -> this.simulation.addEntry(name, 0));
		this.simulation.addEntry("e4", 1);
		List.of("s1", "s2", "s3", "s4").forEach((name) -> this.simulation.addSidecar(name, 0));
		this.simulation.addSidecar("s5", 1);
		this.callers = new RandomCallers(this.simulation, this.random, steps);
		this.simulation.schedule(TIME_SLICE, this.callers::generateArrivals);
		scheduleDrains();
		schedulePartitions();
		scheduleBlackholesAndStalls();
		scheduleQuarantineReviews();
		while (!this.callers.isFinished()) {
			this.simulation.runUntil(this.simulation.now() + TIME_SLICE.toNanos());
		}
		this.faults.disable();
		this.simulation.runUntil(this.simulation.now() + SETTLE_TIME.toNanos());
	}

	RuleChecker ruleChecker() {
		return this.ruleChecker;
	}

	long openCount() {
		return this.callers.openCount();
	}

	long invariantBreaches() {
		return this.simulation.invariants().violations();
	}

	/**
	 * Returns the kinds of events after which no crash was injected. The run covers all
	 * crash points if there are none.
	 * @return process and event, such as {@code entry:TimePassed}
	 */
	Set<String> eventsWithoutCrash() {
		Set<String> uncovered = eventNames("entry:", RequestEvent.class);
		uncovered.addAll(eventNames("sidecar:", AttemptEvent.class));
		uncovered.addAll(eventNames("backend:", AttemptEvent.class));
		this.faults.crashCounts().forEach((event, count) -> {
			if (count > 0) {
				uncovered.remove(event);
			}
		});
		// The backend server is already down when its sidecar handles these events.
		uncovered.remove("backend:BackendCrashed");
		uncovered.remove("backend:RunRefused");
		return uncovered;
	}

	private static Set<String> eventNames(String prefix, Class<?> events) {
		return Arrays.stream(events.getPermittedSubclasses())
			.map((event) -> prefix + event.getSimpleName())
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private void report(long seed, Reporter reporter) {
		int crashes = this.faults.crashCounts().values().stream().mapToInt(Integer::intValue).sum();
		reporter.result("request-random", Field.of("seed", seed), Field.of("sendings", this.callers.submissionCount()),
				Field.of("operations", this.callers.operationCount()),
				Field.of("completed", this.ruleChecker.outcomes(Outcome.COMPLETED)),
				Field.of("not-run", this.ruleChecker.outcomes(Outcome.NOT_RUN)),
				Field.of("unknown", this.ruleChecker.outcomes(Outcome.UNKNOWN)), Field.of("open", openCount()),
				Field.of("crashes", crashes), Field.of("worst-lost", this.ruleChecker.maxCrashCount()),
				Field.of("events-without-crash", eventsWithoutCrash()),
				Field.of("virtual-seconds", this.simulation.now() / 1_000_000_000));
		this.ruleChecker.violationTexts().forEach((note) -> reporter.result("breach", Field.of("what", note)));
		for (RuleChecker.Rule rule : RuleChecker.Rule.values()) {
			reporter.atMost(rule.name().toLowerCase(Locale.ROOT).replace('_', '-'), this.ruleChecker.violations(rule),
					0);
		}
		reporter.atMost("invariant-breaches", invariantBreaches(), 0);
		reporter.atMost("open-sendings", openCount(), 0);
		reporter.atMost("events-without-crash", eventsWithoutCrash().size(), 0);
	}

	private void scheduleDrains() {
		this.simulation.schedule(randomDuration(2, 8), () -> {
			pickRandom(this.simulation.sidecars()).startDrain();
			scheduleDrains();
		});
	}

	private void schedulePartitions() {
		this.simulation.schedule(randomDuration(15, 40), () -> {
			Duration length = randomDuration(1, 6);
			this.callers.pausePoison(length.plusSeconds(10));
			this.simulation.schedule(Duration.ofSeconds(9), () -> this.faults.setPartitioned(true));
			this.simulation.schedule(length.plusSeconds(9), () -> this.faults.setPartitioned(false));
			schedulePartitions();
		});
	}

	private void scheduleBlackholesAndStalls() {
		this.simulation.schedule(randomDuration(1, 3), () -> {
			pickRandom(this.simulation.entries()).blackhole(pickRandom(this.simulation.sidecars()).name());
			pickRandom(this.simulation.sidecars()).stall(randomDuration(0, 2));
			scheduleBlackholesAndStalls();
		});
	}

	private void scheduleQuarantineReviews() {
		this.simulation.schedule(Duration.ofSeconds(10), () -> {
			LedgerNode ledger = this.simulation.ledger();
			for (PoisonEntry entry : ledger.poisonLedger().snapshot().entries()) {
				if (ledger.poisonLedger().assess(entry.fingerprint()) == PoisonVerdict.QUARANTINED
						&& this.callers.isHarmless(entry.fingerprint())) {
					ledger.poisonLedger().clear(entry.fingerprint(), ledger.logTime());
				}
			}
			scheduleQuarantineReviews();
		});
	}

	private Duration randomDuration(int minSeconds, int maxSeconds) {
		return Duration.ofMillis(this.random.nextInt(minSeconds * 1_000, maxSeconds * 1_000));
	}

	private <T> T pickRandom(List<T> items) {
		return items.get(this.random.nextInt(items.size()));
	}

}
