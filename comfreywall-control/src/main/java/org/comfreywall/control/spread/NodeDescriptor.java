package org.comfreywall.control.spread;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Describes one incarnation of a node in the relay tree.
 *
 * @param id the instance
 * @param incarnation the incarnation, greater than that of every earlier start
 * @param role the node's role in the tree
 * @param region the region of the failure domain
 * @param domain the failure domain
 * @param address the host and port at which the node receives messages
 */
public record NodeDescriptor(InstanceId id, Incarnation incarnation, NodeRole role, String region,
		FailureDomainId domain, String address) {

	public NodeDescriptor {
		Preconditions.notNull(id, "id");
		Preconditions.notNull(incarnation, "incarnation");
		Preconditions.notNull(role, "role");
		Preconditions.notBlank(region, "region");
		Preconditions.notNull(domain, "domain");
		Preconditions.notBlank(address, "address");
	}

}
