package org.comfreywall.control.spread;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * Describes one incarnation of a node.
 *
 * @param id the instance
 * @param incarnation the incarnation number, greater than that of every earlier start
 * @param role the node's role in the tree
 * @param region the region of the failure domain
 * @param domain the failure domain
 * @param address host and port at which peers reach the node
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
