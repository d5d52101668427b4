package org.comfreywall.bench.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts violations by rule and keeps the first ones as examples.
 */
final class Violations {

	private static final int MAX_EXAMPLES = 20;

	private final Map<String, Integer> counts = new TreeMap<>();

	private final List<String> examples = new ArrayList<>();

	void check(boolean condition, String rule, String format, Object... args) {
		if (condition) {
			return;
		}
		this.counts.merge(rule, 1, Integer::sum);
		if (this.examples.size() < MAX_EXAMPLES) {
			this.examples.add(rule + ": " + String.format(format, args));
		}
	}

	int total() {
		return this.counts.values().stream().mapToInt(Integer::intValue).sum();
	}

	int count(String rule) {
		return this.counts.getOrDefault(rule, 0);
	}

	List<String> examples() {
		return List.copyOf(this.examples);
	}

}
