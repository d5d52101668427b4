package org.comfreywall.control.log;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Identifies an instance together with its data folder.
 *
 * @param instance the instance
 * @param storageId the identifier of its data folder
 */
public record ReplicaIdentity(InstanceId instance, long storageId) {

	public ReplicaIdentity {
		Preconditions.notNull(instance, "instance");
	}

}
