package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * The revision of the configuration, incremented by every accepted change.
 *
 * @param value the revision number, zero or greater
 */
public record Revision(long value) implements Comparable<Revision> {

	/** Smaller than any issued revision. */
	public static final Revision ZERO = new Revision(0);

	public Revision {
		Preconditions.check(value >= 0, "value must not be negative: %d", value);
	}

	/**
	 * Creates a revision from its number.
	 * @param value the revision number, zero or greater
	 * @return the revision
	 */
	public static Revision of(long value) {
		return new Revision(value);
	}

	/**
	 * Returns the next revision.
	 * @return the revision with this number plus one
	 */
	public Revision next() {
		return new Revision(this.value + 1);
	}

	/**
	 * Returns whether this revision is older than the given one.
	 * @param other the revision to compare with
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
