package org.comfreywall.group.placement;

import java.util.Locale;

/**
 * Why a plan was accepted or refused.
 */
public enum PlanReason {

	/** Accepted: some layer had no placement yet. */
	FIRST_PLAN(true),
	/** Accepted: an expert lacked a copy or its spread. */
	COPIES_LOST(true),
	/** Accepted: the saved skew is worth more than the bytes. */
	CHEAPER(true),
	/** Accepted: splitting traffic anew lowers the skew and reads nothing. */
	SPLIT_ONLY(true),
	/** Refused: popularity and speeds changed no more than noise does. */
	WITHIN_NOISE(false),
	/** Refused: the bytes would cost more than the saved skew is worth. */
	TOO_DEAR(false),
	/** Refused: nothing was found that lowers the skew. */
	NO_IMPROVEMENT(false),
	/** Refused: the plan would breach an invariant. */
	INVARIANT(false);

	private final boolean accepted;

	PlanReason(boolean accepted) {
		this.accepted = accepted;
	}

	/**
	 * Tells whether a plan with this reason is carried out.
	 * @return {@code true} if it is
	 */
	public boolean isAccepted() {
		return this.accepted;
	}

	String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
