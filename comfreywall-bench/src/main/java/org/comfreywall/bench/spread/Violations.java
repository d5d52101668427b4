package org.comfreywall.bench.spread;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts breaches of what must hold, found from outside the cores.
 */
final class Violations {

	private static final int MAX_EXAMPLES = 20;

	private final Map<String, Integer> counts = new TreeMap<>();

	private final List<String> examples = new ArrayList<>();

	void check(boolean condition, String name, String format, Object... args) {
		if (condition) {
			return;
		}
		this.counts.merge(name, 1, Integer::sum);
		if (this.examples.size() < MAX_EXAMPLES) {
			this.examples.add(name + ": " + String.format(format, args));
		}
	}

	int total() {
		return this.counts.values().stream().mapToInt(Integer::intValue).sum();
	}

	int count(String name) {
		return this.counts.getOrDefault(name, 0);
	}

	List<String> examples() {
		return List.copyOf(this.examples);
	}

}
