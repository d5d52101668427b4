package org.comfreywall.control.log;

import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies an entry of the replicated log.
 *
 * @param index the entry's index; the first entry has index 1
 * @param term the term of the leader that proposed the entry
 */
public record LogPosition(long index, Term term) {

	/** The position before the first entry. */
	public static final LogPosition ORIGIN = new LogPosition(0, Term.ZERO);

	public LogPosition {
		Preconditions.check(index >= 0, "index must not be negative: %d", index);
		Preconditions.notNull(term, "term");
	}

	/**
	 * Returns whether a log ending here is at least as complete as one ending at the
	 * given position.
	 * @param other the other log's last position
	 * @return {@code true} if the last term is greater, or equal with no smaller index
	 */
	public boolean isAtLeast(LogPosition other) {
		int termOrder = this.term.compareTo(other.term);
		return termOrder > 0 || (termOrder == 0 && this.index >= other.index);
	}

}
