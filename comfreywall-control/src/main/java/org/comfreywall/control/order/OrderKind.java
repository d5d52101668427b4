package org.comfreywall.control.order;

/**
 * Kinds of orders. Each sets a desired state, so orders are idempotent.
 */
public enum OrderKind {

	/** The engine must have a model loaded. */
	LOAD_MODEL,
	/** The engine must have an adapter loaded. */
	LOAD_ADAPTER,
	/** The engine must serve a version of a model. */
	LOAD_VERSION,
	/** The engine must have a role. */
	CHANGE_ROLE

}
