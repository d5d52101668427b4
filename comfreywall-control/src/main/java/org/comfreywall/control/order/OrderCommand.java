package org.comfreywall.control.order;

import java.util.Optional;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Preconditions;

/**
 * An output of {@link OrderIssuer}.
 */
public sealed interface OrderCommand {

	/**
	 * Send an order to its target; it may be lost.
	 *
	 * @param order the order
	 */
	record SendOrder(EngineOrder order) implements OrderCommand {

		public SendOrder {
			Preconditions.notNull(order, "order");
		}

	}

	/**
	 * An order has ended.
	 *
	 * @param order the order
	 * @param error why it was not carried out, or empty if it was; after
	 * {@link org.comfreywall.common.result.ErrorCode#FENCED} and
	 * {@link org.comfreywall.common.result.ErrorCode#CANCELLED} it may have been
	 */
	record Settled(EngineOrder order, Optional<OperationError> error) implements OrderCommand {

		public Settled {
			Preconditions.notNull(order, "order");
			Preconditions.notNull(error, "error");
		}

	}

}
