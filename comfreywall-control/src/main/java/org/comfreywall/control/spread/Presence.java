package org.comfreywall.control.spread;

/**
 * The presence of a node as reported from a subtree.
 */
public enum Presence {

	/** The node's heartbeats arrive. */
	PRESENT,
	/** The node's heartbeats arrive and announce that it is leaving. */
	LEAVING,
	/** The node's heartbeats no longer arrive in this subtree. */
	ABSENT

}
