package org.comfreywall.control.order;

/**
 * What became of an order.
 */
public enum OrderStatus {

	/** The engine has carried the order out. */
	DONE,
	/** The order's number is older than one already accepted. */
	FENCED,
	/** The sidecar does not know the present number yet; the order may be sent again. */
	NOT_READY,
	/** The engine cannot carry the order out. */
	FAILED

}
