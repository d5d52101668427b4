package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Adds an instance as a learner, which receives the log but does not count towards a
 * quorum.
 *
 * @param instance the instance, which must not be a member yet
 * @param storageId the identifier of its data folder
 */
public record AddLearner(InstanceId instance, long storageId) implements MembershipChange {

	public AddLearner {
		Preconditions.notNull(instance, "instance");
	}

}
