package org.comfreywall.control.spread;

/**
 * Streams of changes that the tree carries.
 */
public enum StreamId {

	/** The accepted configuration; every node receives it. */
	CONFIGURATION,
	/** The members; control instances and entries receive it. */
	MEMBERS

}
