package org.comfreywall.gateway.pool;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * Chooses the priority at which an engine admits a request. It addresses short prompts
 * that wait for a slot behind long ones on a server that entries with outdated counts
 * filled together.
 * <p>
 * The requests with the shortest prompts are admitted before the others, which costs the
 * others little, as their prompts are read quickly. That holds only while requests with
 * long prompts begin on time at this entry, and for the most urgent kind of requests, as
 * a less urgent one must not precede it.
 */
final class EnginePriority {

	/** One step before the default of the engines, 5; 0 is the first. */
	static final int SHORT_PROMPT_PRIORITY = 4;

	/**
	 * Share of requests with the shortest prompts that are admitted first. In simulation,
	 * a larger share delayed the longest tenth more and served the shortest no better.
	 */
	private static final double SHORT_SHARE = 0.25;

	/** Share of requests with the longest prompts that are observed. */
	private static final double LONG_SHARE = 0.25;

	/** Weight of a new observation; averages over about the last 40 requests. */
	private static final double LATE_SMOOTHING = 0.025;

	/** Share of late requests with long prompts above which all are admitted alike. */
	private static final double MAX_LATE_SHARE = 0.05;

	/**
	 * Share below which short prompts are admitted first again; lower, so that the state
	 * does not change with every late request.
	 */
	private static final double RESUME_LATE_SHARE = 0.025;

	private double lateShare;

	private boolean inForce = true;

	private int mostUrgent = Integer.MAX_VALUE;

	/**
	 * Records a request that has arrived.
	 * @param urgency the priority of its kind; 0 is the highest
	 */
	void recordArrival(int urgency) {
		this.mostUrgent = Math.min(this.mostUrgent, urgency);
	}

	/**
	 * Records how a request was served.
	 * @param quantile the share of requests with shorter prompts
	 * @param late whether its first event came after the objective
	 * @return whether short prompts are admitted first from now on; empty if that has not
	 * changed
	 */
	Optional<Boolean> recordFirstEvent(double quantile, boolean late) {
		if (quantile < 1 - LONG_SHARE) {
			return Optional.empty();
		}
		this.lateShare += LATE_SMOOTHING * ((late ? 1 : 0) - this.lateShare);
		boolean before = this.inForce;
		this.inForce = this.lateShare <= (before ? MAX_LATE_SHARE : RESUME_LATE_SHARE);
		return (this.inForce != before) ? Optional.of(this.inForce) : Optional.empty();
	}

	/**
	 * Returns the priority of a request.
	 * @param quantile the share of requests with shorter prompts
	 * @param urgency the priority of its kind; 0 is the highest
	 * @return the priority; empty for the default
	 */
	OptionalInt priority(double quantile, int urgency) {
		boolean first = quantile < SHORT_SHARE && urgency <= this.mostUrgent && this.inForce;
		return first ? OptionalInt.of(SHORT_PROMPT_PRIORITY) : OptionalInt.empty();
	}

}
