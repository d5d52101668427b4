package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Makes a learner a voter; refused until the learner has synced the whole committed log
 * to disk.
 *
 * @param instance the learner
 */
public record PromoteLearner(InstanceId instance) implements MembershipChange {

	public PromoteLearner {
		Preconditions.notNull(instance, "instance");
	}

}
