package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * The number of a leader term; each term has at most one leader.
 *
 * @param value the term number, zero or greater
 */
public record Term(long value) implements Comparable<Term> {

	/** Smaller than any issued term. */
	public static final Term ZERO = new Term(0);

	public Term {
		Preconditions.check(value >= 0, "value must not be negative: %d", value);
	}

	/**
	 * Creates a term from its number.
	 * @param value the term number, zero or greater
	 * @return the term
	 */
	public static Term of(long value) {
		return new Term(value);
	}

	/**
	 * Returns the next term.
	 * @return the term with this number plus one
	 */
	public Term next() {
		return new Term(this.value + 1);
	}

	/**
	 * Returns whether this term is older than the given one.
	 * @param other the term to compare with
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
