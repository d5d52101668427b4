package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Makes a learner a voter; refused until it holds the whole committed log on synced disk.
 *
 * @param instance the learner
 */
public record PromoteLearner(InstanceId instance) implements MembershipChange {

	public PromoteLearner {
		Preconditions.notNull(instance, "instance");
	}

}
