package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * A control instance that replicates the log.
 *
 * @param instance the instance
 * @param storageId identifies the instance's data folder; a folder that was emptied gets
 * a new identifier and does not count as this member
 * @param voter whether the instance counts towards a quorum
 */
public record Member(InstanceId instance, long storageId, boolean voter) {

	public Member {
		Preconditions.notNull(instance, "instance");
	}

	boolean matches(InstanceId instance, long storageId) {
		return this.instance.equals(instance) && this.storageId == storageId;
	}

}
