package org.comfreywall.control.order;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * An input of {@link OrderIssuer}.
 */
public sealed interface OrderEvent {

	/**
	 * This instance became the leader and holds a valid lease.
	 *
	 * @param term the term of the leader
	 */
	record LeadershipGained(Term term) implements OrderEvent {

		public LeadershipGained {
			Preconditions.notNull(term, "term");
		}

	}

	/**
	 * This instance is no longer the leader, or its lease has expired.
	 */
	record LeadershipLost() implements OrderEvent {

	}

	/**
	 * An order to an engine was requested.
	 *
	 * @param target the sidecar beside the engine
	 * @param kind the kind of order
	 * @param subject the model, adapter or engine that the order is about
	 * @param value the desired value
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
	 * A reply of a sidecar was received.
	 *
	 * @param reply the reply
	 */
	record Replied(OrderReply reply) implements OrderEvent {

		public Replied {
			Preconditions.notNull(reply, "reply");
		}

	}

	/**
	 * Periodic tick, which resends unanswered orders that are due.
	 */
	record Tick() implements OrderEvent {

	}

}
