package org.comfreywall.control.order;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The reply of a sidecar to an order.
 *
 * @param target the sidecar beside the engine
 * @param number the order's fencing number
 * @param status the outcome of the order
 * @param present the highest fencing number that the fence has recorded
 * @param message a human-readable description of the outcome
 */
public record OrderReply(InstanceId target, FencingNumber number, OrderStatus status, FencingNumber present,
		String message) implements OrderMessage {

	public OrderReply {
		Preconditions.notNull(target, "target");
		Preconditions.notNull(number, "number");
		Preconditions.notNull(status, "status");
		Preconditions.notNull(present, "present");
		Preconditions.notNull(message, "message");
	}

}
