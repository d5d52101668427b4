package org.comfreywall.control.spread;

/**
 * A stream of state changes that is replicated through the relay tree.
 */
public enum StreamId {

	/** The committed configuration, replicated to every node. */
	CONFIGURATION,
	/** The membership, replicated to control instances and entries. */
	MEMBERS

}
