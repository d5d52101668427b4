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

	private final Observer observer = new Observer();

	private final World simulation = new World(this.faults, this.observer, this.faults);

	private final Map<String, Sending> sendings = new HashMap<>();

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
				this.simulation.after(Duration.ofMillis((millis > 0) ? millis + START_MILLIS : 0),
						() -> execute(fields));
			}
		}
		this.simulation.runUntil(Duration.ofMillis(END_MILLIS).toNanos());
		expectations.forEach(this::checkExpectation);
		this.differences.addAll(this.observer.notes());
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
			case "drain" -> this.simulation.sidecar(subject).drain();
			case "silence" -> this.simulation.entry(subject).silence(fields[3]);
			case "stall" -> this.simulation.sidecar(subject).stall(Duration.ofMillis(Long.parseLong(fields[3])));
			case "late" -> this.faults.delayMessages(Duration.ofMillis(Long.parseLong(subject)));
			case "doubled" -> this.faults.doubleMessages(subject.equals("on"));
			case "cut" -> this.faults.cut(subject.equals("on"));
			default -> this.differences.add("unknown verb " + fields[1]);
		}
	}

	private void submit(String name, String[] fields) {
		Operation operation = this.operations.computeIfAbsent(fields[3], (id) -> {
			boolean poison = fields.length > 6 && fields[6].equals("poison");
			Operation.Kind kind = Operation.Kind.valueOf(fields[4].toUpperCase(Locale.ROOT));
			return new Operation(id, kind, id, poison);
		});
		Sending submission = new Sending(RequestId.of(name), operation, this::recordOutcome);
		this.sendings.put(name, submission);
		this.simulation.entry(fields[5]).accept(submission);
	}

	private void recordOutcome(Sending submission) {
		if (submission.outcome().isPresent()) {
			this.observer.told(submission);
		}
	}

	private void checkExpectation(String[] fields) {
		String actual = switch (fields[1]) {
			case "outcome" -> outcomeName(this.sendings.get(fields[2]));
			case "runs" -> Integer.toString(this.observer.starts(this.operations.get(fields[2])));
			case "lost" -> Integer.toString(this.observer.crashCount(this.operations.get(fields[2])));
			default -> "unknown expectation";
		};
		if (!actual.equals(fields[3])) {
			this.differences.add(String.join(" ", fields) + " but was " + actual);
		}
	}

	private static String outcomeName(Sending submission) {
		if (submission.isAbandoned()) {
			return "broken";
		}
		return submission.outcome().map((outcome) -> outcome.name().toLowerCase(Locale.ROOT)).orElse("open");
	}

}
