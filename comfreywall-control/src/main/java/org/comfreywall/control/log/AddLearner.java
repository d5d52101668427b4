package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Adds an instance that receives the log without counting towards a quorum.
 *
 * @param instance the instance, not a member yet
 * @param storageId the identifier of its data folder
 */
public record AddLearner(InstanceId instance, long storageId) implements MembershipChange {

	public AddLearner {
		Preconditions.notNull(instance, "instance");
	}

}
