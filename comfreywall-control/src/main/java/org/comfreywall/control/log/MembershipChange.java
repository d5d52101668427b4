package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;

/**
 * A change of the membership that concerns one instance.
 */
public sealed interface MembershipChange permits AddLearner, PromoteLearner, RemoveMember {

	/**
	 * Returns the instance that is added, promoted or removed.
	 * @return the instance
	 */
	InstanceId instance();

}
