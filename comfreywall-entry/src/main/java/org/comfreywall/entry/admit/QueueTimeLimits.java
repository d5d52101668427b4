package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.util.Preconditions;

/**
 * The maximum time in queue for each priority class.
 *
 * @param interactive the limit of {@link PriorityClass#INTERACTIVE}
 * @param standard the limit of {@link PriorityClass#STANDARD}
 * @param batch the limit of {@link PriorityClass#BATCH}
 */
public record QueueTimeLimits(Duration interactive, Duration standard, Duration batch) {

	/** The default limits. */
	public static final QueueTimeLimits DEFAULT = new QueueTimeLimits(Duration.ofMillis(500), Duration.ofMillis(1000),
			Duration.ofMillis(2000));

	public QueueTimeLimits {
		Preconditions.notNull(interactive, "interactive");
		Preconditions.notNull(standard, "standard");
		Preconditions.notNull(batch, "batch");
	}

	/**
	 * Returns the limit of a class.
	 * @param priority the class
	 * @return the maximum time in queue
	 */
	public Duration forClass(PriorityClass priority) {
		if (priority == PriorityClass.INTERACTIVE) {
			return this.interactive;
		}
		return (priority == PriorityClass.STANDARD) ? this.standard : this.batch;
	}

}
