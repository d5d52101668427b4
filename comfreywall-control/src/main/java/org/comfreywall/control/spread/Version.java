package org.comfreywall.control.spread;

import java.util.Comparator;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * The version of a stream's state, ordered by term and number.
 *
 * @param term the leader term in which the state was committed or published
 * @param number the number of the state; for the configuration, its revision
 */
public record Version(Term term, long number) implements Comparable<Version> {

	/** The version before the first state. */
	public static final Version ZERO = new Version(Term.ZERO, 0);

	private static final Comparator<Version> ORDER = Comparator.comparing(Version::term)
		.thenComparingLong(Version::number);

	public Version {
		Preconditions.notNull(term, "term");
		Preconditions.check(number >= 0, "number must not be negative: %d", number);
	}

	/**
	 * Creates a version.
	 * @param term the term's number
	 * @param number the state's number
	 * @return the version
	 */
	public static Version of(long term, long number) {
		return new Version(Term.of(term), number);
	}

	/**
	 * Returns whether this version is older than another.
	 * @param other the version to compare with
	 * @return {@code true} if this version is older
	 */
	public boolean isBefore(Version other) {
		return compareTo(other) < 0;
	}

	@Override
	public int compareTo(Version other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.term + "." + this.number;
	}

}
