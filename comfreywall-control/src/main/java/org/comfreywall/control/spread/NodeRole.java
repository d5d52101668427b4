package org.comfreywall.control.spread;

/**
 * Roles of a node in the relay tree.
 */
public enum NodeRole {

	/** Holds durable state; the leader among them is the root of the tree. */
	CONTROL,
	/** Accepts callers' requests and may relay to other nodes. */
	ENTRY,
	/** Runs beside a backend server and is always a leaf. */
	SIDECAR

}
