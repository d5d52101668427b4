package org.comfreywall.control.spread;

/**
 * The role of a node in the relay tree.
 */
public enum NodeRole {

	/**
	 * A control instance. It stores the replicated log; the leader is the tree's root.
	 */
	CONTROL,
	/** An instance that accepts clients' requests and can relay to other nodes. */
	ENTRY,
	/** An instance that runs beside a backend server and is always a leaf. */
	SIDECAR

}
