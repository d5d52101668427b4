package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;

/**
 * A change of one member.
 */
public sealed interface MembershipChange permits AddLearner, PromoteLearner, RemoveMember {

	/**
	 * Returns the instance that the change is about.
	 * @return the instance
	 */
	InstanceId instance();

}
