package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.comfreywall.common.id.RequestId;

/**
 * Replays a trace through the real cores and compares the outcomes with the stated ones.
 * <p>
 * Each line is {@code TIME VERB ARGUMENTS}, with the time in milliseconds after the
 * start, or {@code expect ARGUMENTS} for the state at the end; {@code #} starts a
 * comment.
 */
final class TraceReplay {

	/** Until then the guards know that no former guard knew a loss. */
	private static final long START_MILLIS = 2_000;

	private static final long END_MILLIS = 22_000;

	private final ScriptedFaults faults = new ScriptedFaults();

	private final Observer observer = new Observer();

	private final World world = new World(this.faults, this.observer, this.faults);

	private final Map<String, Sending> sendings = new HashMap<>();

	private final Map<String, Operation> operations = new HashMap<>();

	private final List<String> differences = new ArrayList<>();

	/**
	 * Replays a trace.
	 * @param lines the lines of the trace
	 * @return how the replay differs from the stated outcomes; empty if it does not
	 */
	List<String> replay(List<String> lines) {
		List<String[]> expectations = new ArrayList<>();
		for (String line : lines) {
			String text = line.replaceFirst("#.*", "").trim();
			String[] words = text.split("\\s+");
			if (text.startsWith("expect")) {
				expectations.add(words);
			}
			else if (!text.isEmpty()) {
				long millis = Long.parseLong(words[0]);
				this.world.after(Duration.ofMillis((millis > 0) ? millis + START_MILLIS : 0), () -> step(words));
			}
		}
		this.world.runUntil(Duration.ofMillis(END_MILLIS).toNanos());
		expectations.forEach(this::check);
		this.differences.addAll(this.observer.notes());
		return this.differences;
	}

	private void step(String[] words) {
		String subject = words[2];
		switch (words[1]) {
			case "entry" -> this.world.addEntry(subject, Integer.parseInt(words[3]));
			case "server" -> this.world.addSidecar(subject, Integer.parseInt(words[3]));
			case "send" -> send(subject, words);
			case "crash-entry" -> this.world.entry(subject).crash();
			case "crash-sidecar" -> this.world.sidecar(subject).crash();
			case "crash-backend" -> this.world.sidecar(subject).crashBackend();
			case "drain" -> this.world.sidecar(subject).drain();
			case "silence" -> this.world.entry(subject).silence(words[3]);
			case "stall" -> this.world.sidecar(subject).stall(Duration.ofMillis(Long.parseLong(words[3])));
			case "late" -> this.faults.delayMessages(Duration.ofMillis(Long.parseLong(subject)));
			case "doubled" -> this.faults.doubleMessages(subject.equals("on"));
			case "cut" -> this.faults.cut(subject.equals("on"));
			default -> this.differences.add("unknown verb " + words[1]);
		}
	}

	private void send(String name, String[] words) {
		Operation operation = this.operations.computeIfAbsent(words[3], (id) -> {
			boolean poison = words.length > 6 && words[6].equals("poison");
			Operation.Kind kind = Operation.Kind.valueOf(words[4].toUpperCase(Locale.ROOT));
			return new Operation(id, kind, id, poison);
		});
		Sending sending = new Sending(RequestId.of(name), operation, this::ended);
		this.sendings.put(name, sending);
		this.world.entry(words[5]).accept(sending);
	}

	private void ended(Sending sending) {
		if (sending.outcome().isPresent()) {
			this.observer.told(sending);
		}
	}

	private void check(String[] words) {
		String actual = switch (words[1]) {
			case "outcome" -> outcome(this.sendings.get(words[2]));
			case "runs" -> Integer.toString(this.observer.starts(this.operations.get(words[2])));
			case "lost" -> Integer.toString(this.observer.lost(this.operations.get(words[2])));
			default -> "unknown expectation";
		};
		if (!actual.equals(words[3])) {
			this.differences.add(String.join(" ", words) + " but was " + actual);
		}
	}

	private static String outcome(Sending sending) {
		if (sending.isAbandoned()) {
			return "broken";
		}
		return sending.outcome().map((outcome) -> outcome.name().toLowerCase(Locale.ROOT)).orElse("open");
	}

}
