package org.comfreywall.control.order;

/**
 * Kinds of orders; each states what is to hold, so that carrying one out twice changes
 * nothing.
 */
public enum OrderKind {

	/** The engine is to have a model loaded. */
	LOAD_MODEL,
	/** The engine is to have an adapter loaded. */
	LOAD_ADAPTER,
	/** The engine is to serve a version of a model. */
	LOAD_VERSION,
	/** The engine is to take a role. */
	CHANGE_ROLE

}
