package org.comfreywall.common.id;

import java.util.Comparator;

import org.comfreywall.common.util.Preconditions;

/**
 * Fencing token of a command to an engine: a command with a smaller number than one that
 * was already accepted is rejected, so that a deposed leader cannot control the engine.
 *
 * @param term the term of the leader that issued the command
 * @param sequence the command's number within the term, zero or greater
 */
public record FencingNumber(Term term, long sequence) implements Comparable<FencingNumber> {

	/** Smaller than the number of any command. */
	public static final FencingNumber ZERO = new FencingNumber(Term.ZERO, 0);

	private static final Comparator<FencingNumber> ORDER = Comparator.comparing(FencingNumber::term)
		.thenComparingLong(FencingNumber::sequence);

	public FencingNumber {
		Preconditions.notNull(term, "term");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
	}

	/**
	 * Returns whether this number is smaller than the given one.
	 * @param other the number to compare with
	 * @return {@code true} if a command with this number must be rejected after
	 * {@code other} was accepted
	 */
	public boolean isBefore(FencingNumber other) {
		return compareTo(other) < 0;
	}

	@Override
	public int compareTo(FencingNumber other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.term + "." + this.sequence;
	}

}
