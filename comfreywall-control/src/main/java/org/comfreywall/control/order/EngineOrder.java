package org.comfreywall.control.order;

import org.comfreywall.common.id.FencingNumber;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * An order that sets a desired state of the engine of one backend server.
 *
 * @param target the sidecar beside the engine
 * @param number the order's fencing number
 * @param kind the kind of order
 * @param subject the model, adapter or engine that the order is about
 * @param value the desired value, such as the version or the role
 */
public record EngineOrder(InstanceId target, FencingNumber number, OrderKind kind, String subject,
		String value) implements OrderMessage {

	public EngineOrder {
		Preconditions.notNull(target, "target");
		Preconditions.notNull(number, "number");
		Preconditions.notNull(kind, "kind");
		Preconditions.notBlank(subject, "subject");
		Preconditions.notNull(value, "value");
	}

	boolean hasSameContent(EngineOrder other) {
		return this.kind == other.kind && this.subject.equals(other.subject) && this.value.equals(other.value);
	}

	EngineOrder withNumber(FencingNumber other) {
		return new EngineOrder(this.target, other, this.kind, this.subject, this.value);
	}

}
