package org.comfreywall.control.order;

/**
 * The outcome of an order.
 */
public enum OrderStatus {

	/** The engine has carried the order out. */
	DONE,
	/** The fence rejected the order's fencing number as too old. */
	FENCED,
	/** The fence of the sidecar is not initialized yet; the order may be sent again. */
	NOT_READY,
	/** The engine failed to carry out the order. */
	FAILED

}
