package org.comfreywall.common.decision;

/**
 * Kinds of recorded decisions.
 */
public enum DecisionKind {

	/** A backend server was chosen. */
	ROUTE,
	/** A request was rejected. */
	REFUSE,
	/** A request was retried. */
	RETRY,
	/** A second attempt was started in parallel to a slow one. */
	HEDGE,
	/** A request was shed because of overload. */
	SHED,
	/** A request was suspected, isolated, quarantined or cleared. */
	QUARANTINE,
	/** An idempotency key was claimed, or an existing claim was found. */
	CLAIM,
	/** A request ended. */
	OUTCOME,
	/** A share of a limit was granted or revoked. */
	LEASE,
	/** A placement plan was accepted or rejected. */
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
	/** A command was sent to an engine. */
	ORDER

}
