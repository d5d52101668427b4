package org.comfreywall.control.order;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Answers an order.
 *
 * @param target the sidecar beside the engine
 * @param number the order's number
 * @param status what became of the order
 * @param present the greatest number known to the fence
 * @param message what happened, for people
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
