package org.comfreywall.group.straggler;

/**
 * What the detector believes of a rank.
 */
public enum RankCondition {

	/** The rank keeps up. */
	HEALTHY,
	/** The rank is late because it holds hot experts. */
	HOT_EXPERT,
	/** The rank is late for its load; its hardware is slow. */
	SLOW_HARDWARE,
	/** The rank stayed slow after it shed experts; it is to be replaced. */
	REPLACE

}
