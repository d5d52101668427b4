package org.comfreywall.group.map;

import org.comfreywall.common.util.Preconditions;

/**
 * Version number of an expert map within its group.
 *
 * @param value the version number, zero or greater
 */
public record MapVersion(long value) implements Comparable<MapVersion> {

	/** The version before the first map. */
	public static final MapVersion ZERO = new MapVersion(0);

	public MapVersion {
		Preconditions.check(value >= 0, "value must not be negative: %d", value);
	}

	/**
	 * Creates a version from its number.
	 * @param value the version number, zero or greater
	 * @return the version
	 */
	public static MapVersion of(long value) {
		return new MapVersion(value);
	}

	/**
	 * Returns the next version.
	 * @return this version plus one
	 */
	public MapVersion next() {
		return new MapVersion(this.value + 1);
	}

	/**
	 * Returns whether this version is older than the given one.
	 * @param other the version to compare with
	 * @return {@code true} if this version is smaller
	 */
	public boolean isBefore(MapVersion other) {
		return this.value < other.value;
	}

	@Override
	public int compareTo(MapVersion other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
