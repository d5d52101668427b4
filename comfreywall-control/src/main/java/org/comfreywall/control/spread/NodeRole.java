package org.comfreywall.control.spread;

/**
 * Roles of a node in the relay tree.
 */
public enum NodeRole {

	/** Keeps durable state and is a root of the tree. */
	CONTROL,
	/** Takes callers' requests and may relay to other nodes. */
	ENTRY,
	/** Runs beside a backend server and is always a leaf. */
	SIDECAR

}
