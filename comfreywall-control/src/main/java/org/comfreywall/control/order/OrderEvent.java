package org.comfreywall.control.order;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * An input of {@link OrderIssuer}.
 */
public sealed interface OrderEvent {

	/**
	 * This instance has begun to lead with a valid lease.
	 *
	 * @param term the term
	 */
	record LeadershipGained(Term term) implements OrderEvent {

		public LeadershipGained {
			Preconditions.notNull(term, "term");
		}

	}

	/**
	 * This instance no longer leads, or its lease has ended.
	 */
	record LeadershipLost() implements OrderEvent {

	}

	/**
	 * An engine is to be given an order.
	 *
	 * @param target the sidecar beside the engine
	 * @param kind the kind of order
	 * @param subject the model, adapter or engine that the order is about
	 * @param value what is to hold
	 */
	record Requested(InstanceId target, OrderKind kind, String subject, String value) implements OrderEvent {

		public Requested {
			Preconditions.notNull(target, "target");
			Preconditions.notNull(kind, "kind");
			Preconditions.notBlank(subject, "subject");
			Preconditions.notNull(value, "value");
		}

	}

	/**
	 * A sidecar has answered.
	 *
	 * @param reply the answer
	 */
	record Replied(OrderReply reply) implements OrderEvent {

		public Replied {
			Preconditions.notNull(reply, "reply");
		}

	}

	/**
	 * Time has passed.
	 */
	record Tick() implements OrderEvent {

	}

}
