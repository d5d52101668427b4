package org.comfreywall.entry.route;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.util.Preconditions;

/**
 * Prompt tokens still to be computed, by priority class.
 *
 * @param interactive the tokens of {@link PriorityClass#INTERACTIVE}
 * @param standard the tokens of {@link PriorityClass#STANDARD}
 * @param batch the tokens of {@link PriorityClass#BATCH}
 */
public record QueuedTokens(long interactive, long standard, long batch) {

	/** No tokens. */
	public static final QueuedTokens NONE = new QueuedTokens(0, 0, 0);

	public QueuedTokens {
		Preconditions.check(interactive >= 0, "interactive must not be negative: %d", interactive);
		Preconditions.check(standard >= 0, "standard must not be negative: %d", standard);
		Preconditions.check(batch >= 0, "batch must not be negative: %d", batch);
	}

	/**
	 * Returns the tokens ahead of a new request on an engine that serves higher priority
	 * classes first.
	 * @param priority the class of the new request
	 * @return the tokens of this class and all higher ones
	 */
	public long tokensAhead(PriorityClass priority) {
		if (priority == PriorityClass.INTERACTIVE) {
			return this.interactive;
		}
		long higher = this.interactive + this.standard;
		return (priority == PriorityClass.STANDARD) ? higher : higher + this.batch;
	}

}
