package org.comfreywall.control.spread;

/**
 * The streams that are replicated through the relay tree.
 */
public enum StreamId {

	/** The committed configuration, replicated to every node. */
	CONFIGURATION,
	/** The members, replicated to control instances and entries. */
	MEMBERS

}
