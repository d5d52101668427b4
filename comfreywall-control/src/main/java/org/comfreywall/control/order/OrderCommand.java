package org.comfreywall.control.order;

import java.util.Optional;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * An output of {@link OrderIssuer}.
 */
public sealed interface OrderCommand {

	/**
	 * Sends an order to its target; the message may be lost.
	 *
	 * @param order the order
	 */
	record SendOrder(EngineOrder order) implements OrderCommand {

		public SendOrder {
			Preconditions.notNull(order, "order");
		}

	}

	/**
	 * Reports that an order has ended.
	 *
	 * @param order the order
	 * @param error why the order failed, or empty if it was carried out; after
	 * {@link org.comfreywall.common.result.ErrorCode#FENCED} and
	 * {@link org.comfreywall.common.result.ErrorCode#CANCELLED} the order may
	 * nevertheless have been carried out
	 */
	record Settled(EngineOrder order, Optional<OperationError> error) implements OrderCommand {

		public Settled {
			Preconditions.notNull(order, "order");
			Preconditions.notNull(error, "error");
		}

	}

}
