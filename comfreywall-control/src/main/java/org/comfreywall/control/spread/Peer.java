package org.comfreywall.control.spread;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The identifier and network address of a node to communicate with.
 *
 * @param id the node
 * @param address the host and port
 */
public record Peer(InstanceId id, String address) {

	public Peer {
		Preconditions.notNull(id, "id");
		Preconditions.notBlank(address, "address");
	}

	/**
	 * Creates a peer from a node's descriptor.
	 * @param node the node's descriptor
	 * @return the peer
	 */
	public static Peer of(NodeDescriptor node) {
		return new Peer(node.id(), node.address());
	}

}
