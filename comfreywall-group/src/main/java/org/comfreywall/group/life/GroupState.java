package org.comfreywall.group.life;

/**
 * States of a group.
 */
public enum GroupState {

	/** Not every rank has run yet. */
	FORMING,
	/** All ranks run and the group takes requests. */
	RUNNING,
	/** A rank was lost and is being replaced. */
	REFORMING,
	/** The group was given up. */
	DISSOLVED

}
