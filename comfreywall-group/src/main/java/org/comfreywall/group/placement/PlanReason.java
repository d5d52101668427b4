package org.comfreywall.group.placement;

import java.util.Locale;

/**
 * The reason for which a plan was accepted or refused.
 */
public enum PlanReason {

	/** Accepted: a layer had no placement yet. */
	FIRST_PLAN(true),
	/** Accepted: an expert lacked a copy or its spread. */
	COPIES_LOST(true),
	/** Accepted: the reduction in skew outweighs the price of the bytes read. */
	CHEAPER(true),
	/** Accepted: only traffic is redistributed, which lowers the skew without reads. */
	SPLIT_ONLY(true),
	/** Refused: no layer's popularity or speeds changed beyond noise. */
	WITHIN_NOISE(false),
	/** Refused: each improvement costs more than it saves or exceeds the plan's bytes. */
	TOO_DEAR(false),
	/** Refused: the search found no placement with a lower skew. */
	NO_IMPROVEMENT(false),
	/** Refused: the plan violates an invariant. */
	INVARIANT(false);

	private final boolean accepted;

	PlanReason(boolean accepted) {
		this.accepted = accepted;
	}

	/**
	 * Returns whether a plan with this reason should be executed.
	 * @return {@code true} if it was accepted
	 */
	public boolean isAccepted() {
		return this.accepted;
	}

	String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
