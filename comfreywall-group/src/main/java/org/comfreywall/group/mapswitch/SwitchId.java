package org.comfreywall.group.mapswitch;

import java.util.Comparator;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies one attempt to switch the map of a group; later attempts have greater
 * identifiers.
 *
 * @param term the term of the coordinator that started the attempt
 * @param sequence the attempt's number within the term, zero or greater
 */
public record SwitchId(Term term, long sequence) implements Comparable<SwitchId> {

	/** The identifier that is smaller than that of every attempt. */
	public static final SwitchId ZERO = new SwitchId(Term.ZERO, 0);

	private static final Comparator<SwitchId> ORDER = Comparator.comparing(SwitchId::term)
		.thenComparingLong(SwitchId::sequence);

	public SwitchId {
		Preconditions.notNull(term, "term");
		Preconditions.check(sequence >= 0, "sequence must not be negative: %d", sequence);
	}

	/**
	 * Returns whether this attempt started before the given one.
	 * @param other the attempt to compare with
	 * @return {@code true} if this identifier is smaller
	 */
	public boolean isBefore(SwitchId other) {
		return compareTo(other) < 0;
	}

	@Override
	public int compareTo(SwitchId other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		return this.term + "." + this.sequence;
	}

}
