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
 * Runs entries, sidecars and ledgers together under random faults and checks from outside
 * what must always hold.
 */
public final class RequestRun implements Measurement {

	/** The number of sendings when none is given. */
	static final long DEFAULT_STEPS = 120_000;

	private static final Duration SETTLE_TIME = Duration.ofSeconds(30);

	private static final Duration SLICE = Duration.ofSeconds(1);

	private RandomFaults faults;

	private RandomGenerator random;

	private World world;

	private RandomCallers callers;

	private final Observer observer = new Observer();

	@Override
	public void run(BenchOptions options, Reporter reporter) {
		run(options.seed(), options.steps(DEFAULT_STEPS));
		report(options.seed(), reporter);
	}

	void run(long seed, long steps) {
		this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
		this.faults = new RandomFaults(this.random);
		this.world = new World(this.faults, this.observer, this.faults);
		List.of("e1", "e2", "e3").forEach((name) -> this.world.addEntry(name, 0));
		this.world.addEntry("e4", 1);
		List.of("s1", "s2", "s3", "s4").forEach((name) -> this.world.addSidecar(name, 0));
		this.world.addSidecar("s5", 1);
		this.callers = new RandomCallers(this.world, this.random, steps);
		this.world.after(SLICE, this.callers::arrive);
		drainSometimes();
		cutSometimes();
		silenceSometimes();
		clearSometimes();
		while (!this.callers.isFinished()) {
			this.world.runUntil(this.world.now() + SLICE.toNanos());
		}
		this.faults.disable();
		this.world.runUntil(this.world.now() + SETTLE_TIME.toNanos());
	}

	Observer observer() {
		return this.observer;
	}

	long open() {
		return this.callers.open();
	}

	long invariantBreaches() {
		return this.world.invariants().violations();
	}

	/**
	 * Returns the kinds of events after which a process never crashed.
	 * @return the names of the events
	 */
	Set<String> eventsWithoutCrash() {
		Set<String> missing = names("entry:", RequestEvent.class);
		missing.addAll(names("sidecar:", AttemptEvent.class));
		missing.addAll(names("backend:", AttemptEvent.class));
		this.faults.crashes().forEach((event, count) -> {
			if (count > 0) {
				missing.remove(event);
			}
		});
		// The backend server is down already when its sidecar handles these.
		missing.remove("backend:BackendCrashed");
		missing.remove("backend:RunRefused");
		return missing;
	}

	private static Set<String> names(String prefix, Class<?> events) {
		return Arrays.stream(events.getPermittedSubclasses())
			.map((event) -> prefix + event.getSimpleName())
			.collect(Collectors.toCollection(TreeSet::new));
	}

	private void report(long seed, Reporter reporter) {
		int crashes = this.faults.crashes().values().stream().mapToInt(Integer::intValue).sum();
		reporter.result("request-random", Field.of("seed", seed), Field.of("sendings", this.callers.sendings()),
				Field.of("operations", this.callers.operations()),
				Field.of("completed", this.observer.outcomes(Outcome.COMPLETED)),
				Field.of("not-run", this.observer.outcomes(Outcome.NOT_RUN)),
				Field.of("unknown", this.observer.outcomes(Outcome.UNKNOWN)), Field.of("open", open()),
				Field.of("crashes", crashes), Field.of("worst-lost", this.observer.worstLost()),
				Field.of("events-without-crash", eventsWithoutCrash()),
				Field.of("virtual-seconds", this.world.now() / 1_000_000_000));
		this.observer.notes().forEach((note) -> reporter.result("breach", Field.of("what", note)));
		for (Observer.Rule rule : Observer.Rule.values()) {
			reporter.atMost(rule.name().toLowerCase(Locale.ROOT).replace('_', '-'), this.observer.breaches(rule), 0);
		}
		reporter.atMost("invariant-breaches", invariantBreaches(), 0);
		reporter.atMost("open-sendings", open(), 0);
		reporter.atMost("events-without-crash", eventsWithoutCrash().size(), 0);
	}

	private void drainSometimes() {
		this.world.after(wait(2, 8), () -> {
			pick(this.world.sidecars()).drain();
			drainSometimes();
		});
	}

	private void cutSometimes() {
		this.world.after(wait(15, 40), () -> {
			Duration length = wait(1, 6);
			this.callers.holdPoison(length.plusSeconds(10));
			this.world.after(Duration.ofSeconds(9), () -> this.faults.cut(true));
			this.world.after(length.plusSeconds(9), () -> this.faults.cut(false));
			cutSometimes();
		});
	}

	private void silenceSometimes() {
		this.world.after(wait(1, 3), () -> {
			pick(this.world.entries()).silence(pick(this.world.sidecars()).name());
			pick(this.world.sidecars()).stall(wait(0, 2));
			silenceSometimes();
		});
	}

	private void clearSometimes() {
		this.world.after(Duration.ofSeconds(10), () -> {
			LedgerNode ledger = this.world.ledger();
			for (PoisonEntry entry : ledger.poison().snapshot().entries()) {
				if (ledger.poison().assess(entry.fingerprint()) == PoisonVerdict.QUARANTINED
						&& this.callers.isInnocent(entry.fingerprint())) {
					ledger.poison().clear(entry.fingerprint(), ledger.logTime());
				}
			}
			clearSometimes();
		});
	}

	private Duration wait(int atLeastSeconds, int atMostSeconds) {
		return Duration.ofMillis(this.random.nextInt(atLeastSeconds * 1_000, atMostSeconds * 1_000));
	}

	private <T> T pick(List<T> items) {
		return items.get(this.random.nextInt(items.size()));
	}

}
