package org.comfreywall.bench;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.comfreywall.common.decision.Field;

/**
 * Prints results and targets as text or JSON and counts the missed targets.
 */
public final class Reporter {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final PrintStream out;

	private final boolean json;

	private int missed;

	Reporter(PrintStream out, boolean json) {
		this.out = out;
		this.json = json;
	}

	/**
	 * Prints a result.
	 * @param name the name of the result
	 * @param fields the measured values; a key ends with the unit of its value
	 */
	public void result(String name, Field... fields) {
		List<Field> all = new ArrayList<>(List.of(fields));
		all.add(0, Field.of("result", name));
		print(all);
	}

	/**
	 * Prints an upper bound and whether the value meets it; counts a missed target.
	 * @param name the target's name
	 * @param value the measured value
	 * @param bound the greatest value allowed
	 */
	public void atMost(String name, double value, double bound) {
		target(name, value, "at-most", bound, value <= bound);
	}

	/**
	 * Prints a lower bound and whether the value meets it; counts a missed target.
	 * @param name the target's name
	 * @param value the measured value
	 * @param bound the smallest value allowed
	 */
	public void atLeast(String name, double value, double bound) {
		target(name, value, "at-least", bound, value >= bound);
	}

	/**
	 * Returns the number of targets missed so far.
	 * @return the number of missed targets
	 */
	public int missed() {
		return this.missed;
	}

	private void target(String name, double value, String relation, double bound, boolean met) {
		if (!met) {
			this.missed++;
		}
		print(List.of(Field.of("target", name), Field.of("value", format(value)), Field.of(relation, format(bound)),
				Field.of("met", met)));
	}

	private void print(List<Field> fields) {
		this.out.println(this.json ? json(fields) : text(fields));
	}

	private static String format(double value) {
		return (value == Math.rint(value) && Math.abs(value) < 1e15) ? Long.toString((long) value)
				: String.format("%.4g", value);
	}

	private static String text(List<Field> fields) {
		return String.join(" ", fields.stream().map((field) -> field.key() + "=" + field.value()).toList());
	}

	private static String json(List<Field> fields) {
		Map<String, String> values = new LinkedHashMap<>();
		fields.forEach((field) -> values.put(field.key(), field.value()));
		try {
			return MAPPER.writeValueAsString(values);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Cannot print a result as JSON", ex);
		}
	}

}
