package org.comfreywall.control.state;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Compares and merges lists of descriptors by identifier.
 */
final class DescriptorLists {

	private DescriptorLists() {
	}

	static <T> List<T> addedOrChanged(List<T> before, List<T> after) {
		Set<T> unchanged = new HashSet<>(before);
		return after.stream().filter((descriptor) -> !unchanged.contains(descriptor)).toList();
	}

	static <T, I> List<I> removedIds(List<T> before, List<T> after, Function<T, I> id) {
		Set<I> remaining = new HashSet<>(after.stream().map(id).toList());
		return before.stream().map(id).filter((candidate) -> !remaining.contains(candidate)).toList();
	}

	static <T, I extends Comparable<? super I>> List<T> merge(List<T> before, List<T> put, List<I> removed,
			Function<T, I> id) {
		Map<I, T> merged = new TreeMap<>();
		before.forEach((descriptor) -> merged.put(id.apply(descriptor), descriptor));
		removed.forEach(merged::remove);
		put.forEach((descriptor) -> merged.put(id.apply(descriptor), descriptor));
		return List.copyOf(merged.values());
	}

}
