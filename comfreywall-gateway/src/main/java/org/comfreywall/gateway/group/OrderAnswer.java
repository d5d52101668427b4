package org.comfreywall.gateway.group;

/**
 * The result of an order to an engine.
 */
public enum OrderAnswer {

	/**
	 * The engine has begun or completed the order, or was already in the ordered state.
	 */
	TAKEN,
	/** The engine refused the order, as its state does not permit it. */
	REFUSED,
	/** There was no answer; the engine may have executed the order or may do so later. */
	UNKNOWN

}
