package org.comfreywall.common.toml;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the known name that is most similar to a misspelt one.
 */
public final class NearestName {

	private static final int MAX_NAME_LENGTH = 64;

	private NearestName() {
	}

	/**
	 * Finds the known name with the smallest Levenshtein distance, which must be at most
	 * a third of its length, or 2 for short names.
	 * @param name the misspelt name
	 * @param known the known names
	 * @return the nearest known name, or empty if none is similar enough
	 */
	public static Optional<String> find(String name, Collection<String> known) {
		if (name.length() > MAX_NAME_LENGTH) {
			return Optional.empty();
		}
		return known.stream()
			.filter((candidate) -> distance(name, candidate) <= Math.max(2, candidate.length() / 3))
			.min(Comparator.comparingInt((candidate) -> distance(name, candidate)));
	}

	private static int distance(String left, String right) {
		int[] previous = new int[right.length() + 1];
		for (int j = 0; j <= right.length(); j++) {
			previous[j] = j;
		}
		for (int i = 1; i <= left.length(); i++) {
			previous = nextRow(left.charAt(i - 1), i, right, previous);
		}
		return previous[right.length()];
	}

	private static int[] nextRow(char c, int row, String right, int[] previous) {
		int[] current = new int[previous.length];
		current[0] = row;
		for (int j = 1; j < current.length; j++) {
			int substituted = previous[j - 1] + ((c == right.charAt(j - 1)) ? 0 : 1);
			current[j] = Math.min(substituted, Math.min(previous[j], current[j - 1]) + 1);
		}
		return current;
	}

}
