package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Numbers an accepted state of the configuration.
 *
 * @param value the revision number, zero or greater
 */
public record Revision(long value) implements Comparable<Revision> {

	/** The value before the first one issued. */
	public static final Revision ZERO = new Revision(0);

	public Revision {
		Preconditions.check(value >= 0, "value must not be negative: %d", value);
	}

	/**
	 * Creates an instance from its number.
	 * @param value the revision number, zero or greater
	 * @return the typed number
	 */
	public static Revision of(long value) {
		return new Revision(value);
	}

	/**
	 * Returns the number that follows this one.
	 * @return this number plus one
	 */
	public Revision next() {
		return new Revision(this.value + 1);
	}

	/**
	 * Tells whether this number is older than the given one.
	 * @param other the number to compare with
	 * @return {@code true} if this number is smaller
	 */
	public boolean isBefore(Revision other) {
		return this.value < other.value;
	}

	@Override
	public int compareTo(Revision other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
