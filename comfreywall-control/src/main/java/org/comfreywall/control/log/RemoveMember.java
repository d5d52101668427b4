package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Removes a member; the last voter cannot be removed.
 *
 * @param instance the member
 */
public record RemoveMember(InstanceId instance) implements MembershipChange {

	public RemoveMember {
		Preconditions.notNull(instance, "instance");
	}

}
