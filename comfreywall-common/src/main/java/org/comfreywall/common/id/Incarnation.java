package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies one run of a process; each restart has a greater incarnation.
 *
 * @param value the incarnation number, zero or greater
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

	/** Smaller than any issued incarnation. */
	public static final Incarnation ZERO = new Incarnation(0);

	public Incarnation {
		Preconditions.check(value >= 0, "value must not be negative: %d", value);
	}

	/**
	 * Creates an incarnation from its number.
	 * @param value the incarnation number, zero or greater
	 * @return the incarnation
	 */
	public static Incarnation of(long value) {
		return new Incarnation(value);
	}

	/**
	 * Returns the next incarnation.
	 * @return the incarnation with this number plus one
	 */
	public Incarnation next() {
		return new Incarnation(this.value + 1);
	}

	/**
	 * Returns whether this incarnation is older than the given one.
	 * @param other the incarnation to compare with
	 * @return {@code true} if this number is smaller
	 */
	public boolean isBefore(Incarnation other) {
		return this.value < other.value;
	}

	@Override
	public int compareTo(Incarnation other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
