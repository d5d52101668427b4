package org.comfreywall.control.spread;

/**
 * Whether a node is present in a subtree, as reported by the subtree's root.
 */
public enum Presence {

	/** The node sends heartbeats to a node of the subtree. */
	PRESENT,
	/** The node sends heartbeats that announce that it is leaving. */
	LEAVING,
	/** No node of the subtree receives heartbeats of the node any longer. */
	ABSENT

}
