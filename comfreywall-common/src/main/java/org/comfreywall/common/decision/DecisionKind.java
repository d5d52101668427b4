package org.comfreywall.common.decision;

/**
 * Kinds of decisions that leave a record.
 */
public enum DecisionKind {

	/** A backend server was chosen. */
	ROUTE,
	/** A request was refused. */
	REFUSE,
	/** A request was tried again. */
	RETRY,
	/** A second attempt was started beside a slow one. */
	HEDGE,
	/** A request was shed because of overload. */
	SHED,
	/** A request was suspected, isolated, quarantined or cleared. */
	QUARANTINE,
	/** An idempotency key was claimed or its claim found. */
	CLAIM,
	/** A request ended. */
	OUTCOME,
	/** A limit's share was granted or taken back. */
	LEASE,
	/** A placement plan was accepted or refused. */
	REBALANCE,
	/** An expert map was switched or the switch aborted. */
	SWITCH,
	/** A leader was elected or stepped down. */
	ELECT,
	/** A member joined, was suspected, failed or left. */
	MEMBERSHIP,
	/** A backend server or instance was drained. */
	DRAIN,
	/** The configuration changed. */
	CONFIGURE,
	/** An engine was given an order. */
	ORDER

}
