package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Numbers a period with at most one leader.
 *
 * @param value the term number, zero or greater
 */
public record Term(long value) implements Comparable<Term> {

	/** The value before the first one issued. */
	public static final Term ZERO = new Term(0);

	public Term {
		Preconditions.check(value >= 0, "value must not be negative: %d", value);
	}

	/**
	 * Creates an instance from its number.
	 * @param value the term number, zero or greater
	 * @return the typed number
	 */
	public static Term of(long value) {
		return new Term(value);
	}

	/**
	 * Returns the number that follows this one.
	 * @return this number plus one
	 */
	public Term next() {
		return new Term(this.value + 1);
	}

	/**
	 * Tells whether this number is older than the given one.
	 * @param other the number to compare with
	 * @return {@code true} if this number is smaller
	 */
	public boolean isBefore(Term other) {
		return this.value < other.value;
	}

	@Override
	public int compareTo(Term other) {
		return Long.compare(this.value, other.value);
	}

	@Override
	public String toString() {
		return Long.toString(this.value);
	}

}
