package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Numbers one life of a process; a restarted process has a greater one.
 *
 * @param value the incarnation number, zero or greater
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

	/** The value before the first one issued. */
	public static final Incarnation ZERO = new Incarnation(0);

	public Incarnation {
		Preconditions.check(value >= 0, "value must not be negative: %d", value);
	}

	/**
	 * Creates an instance from its number.
	 * @param value the incarnation number, zero or greater
	 * @return the typed number
	 */
	public static Incarnation of(long value) {
		return new Incarnation(value);
	}

	/**
	 * Returns the number that follows this one.
	 * @return this number plus one
	 */
	public Incarnation next() {
		return new Incarnation(this.value + 1);
	}

	/**
	 * Tells whether this number is older than the given one.
	 * @param other the number to compare with
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
