package org.comfreywall.control.spread;

/**
 * What a part of the tree says about a node.
 */
public enum Presence {

	/** The node's heartbeats arrive. */
	PRESENT,
	/** The node's heartbeats arrive and say that it is leaving. */
	LEAVING,
	/** Nobody in this part of the tree hears the node any more. */
	ABSENT

}
