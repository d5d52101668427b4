package org.comfreywall.group.straggler;

/**
 * The detector's classification of a rank.
 */
public enum RankCondition {

	/** The rank is not an outlier. */
	HEALTHY,
	/** The rank is slow because it holds hot experts. */
	HOT_EXPERT,
	/** The rank is slow for its load, which points to slow hardware. */
	SLOW_HARDWARE,
	/** The rank stayed slow after it shed experts; its replacement was requested. */
	REPLACE

}
