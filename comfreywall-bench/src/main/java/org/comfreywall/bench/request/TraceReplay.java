package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.comfreywall.common.id.RequestId;

/**
 * Replays a trace of requests and faults in the simulation and compares the results with
 * the expectations in the trace.
 * <p>
 * A line is either {@code TIME VERB ARGUMENTS}, where {@code TIME} is in milliseconds
 * after the start, or {@code expect ARGUMENTS}, which is checked after the replay.
 * {@code #} starts a comment.
 */
final class TraceReplay {

	/**
	 * Offset of all events except those at time 0. It must exceed the flight time of the
	 * single-flight guards: until then, a new guard refers requests with unknown
	 * fingerprints to the poison ledger.
	 */
	private static final long START_MILLIS = 2_000;

	private static final long END_MILLIS = 22_000;

	private final ScriptedFaults faults = new ScriptedFaults();

	private final RuleChecker ruleChecker = new RuleChecker();

	private final Simulation simulation = new Simulation(this.faults, this.ruleChecker, this.faults);

	private final Map<String, Submission> submissions = new HashMap<>();

	private final Map<String, Operation> operations = new HashMap<>();

	private final List<String> differences = new ArrayList<>();

	/**
	 * Replays a trace.
	 * @param lines the lines of the trace
	 * @return each difference from an expectation and each violated safety rule; empty if
	 * there are none
	 */
	List<String> replay(List<String> lines) {
		List<String[]> expectations = new ArrayList<>();
		for (String line : lines) {
			String text = line.replaceFirst("#.*", "").trim();
			String[] fields = text.split("\\s+");
			if (text.startsWith("expect")) {
				expectations.add(fields);
			}
			else if (!text.isEmpty()) {
				long millis = Long.parseLong(fields[0]);
				this.simulation.schedule(Duration.ofMillis((millis > 0) ? millis + START_MILLIS : 0),
						() -> execute(fields));
			}
		}
		this.simulation.runUntil(Duration.ofMillis(END_MILLIS).toNanos());
		expectations.forEach(this::checkExpectation);
		this.differences.addAll(this.ruleChecker.violationTexts());
		return this.differences;
	}

	private void execute(String[] fields) {
		String subject = fields[2];
		switch (fields[1]) {
			case "entry" -> this.simulation.addEntry(subject, Integer.parseInt(fields[3]));
			case "server" -> this.simulation.addSidecar(subject, Integer.parseInt(fields[3]));
			case "send" -> submit(subject, fields);
			case "crash-entry" -> this.simulation.entry(subject).crash();
			case "crash-sidecar" -> this.simulation.sidecar(subject).crash();
			case "crash-backend" -> this.simulation.sidecar(subject).crashBackend();
			case "drain" -> this.simulation.sidecar(subject).startDrain();
			case "silence" -> this.simulation.entry(subject).blackhole(fields[3]);
			case "stall" -> this.simulation.sidecar(subject).stall(Duration.ofMillis(Long.parseLong(fields[3])));
			case "late" -> this.faults.setExtraDelay(Duration.ofMillis(Long.parseLong(subject)));
			case "doubled" -> this.faults.setDuplicating(subject.equals("on"));
			case "cut" -> this.faults.setPartitioned(subject.equals("on"));
			default -> this.differences.add("unknown verb " + fields[1]);
		}
	}

	private void submit(String name, String[] fields) {
		Operation operation = this.operations.computeIfAbsent(fields[3], (id) -> {
			boolean poison = fields.length > 6 && fields[6].equals("poison");
			Operation.Kind kind = Operation.Kind.valueOf(fields[4].toUpperCase(Locale.ROOT));
			return new Operation(id, kind, id, poison);
		});
		Submission submission = new Submission(RequestId.of(name), operation, this::recordOutcome);
		this.submissions.put(name, submission);
		this.simulation.entry(fields[5]).submit(submission);
	}

	private void recordOutcome(Submission submission) {
		if (submission.outcome().isPresent()) {
			this.ruleChecker.recordOutcome(submission);
		}
	}

	private void checkExpectation(String[] fields) {
		String actual = switch (fields[1]) {
			case "outcome" -> outcomeName(this.submissions.get(fields[2]));
			case "runs" -> Integer.toString(this.ruleChecker.startCount(this.operations.get(fields[2])));
			case "lost" -> Integer.toString(this.ruleChecker.crashCount(this.operations.get(fields[2])));
			default -> "unknown expectation";
		};
		if (!actual.equals(fields[3])) {
			this.differences.add(String.join(" ", fields) + " but was " + actual);
		}
	}

	private static String outcomeName(Submission submission) {
		if (submission.isConnectionLost()) {
			return "broken";
		}
		return submission.outcome().map((outcome) -> outcome.name().toLowerCase(Locale.ROOT)).orElse("open");
	}

}
