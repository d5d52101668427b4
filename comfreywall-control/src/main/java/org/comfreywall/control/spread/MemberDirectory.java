package org.comfreywall.control.spread;

import java.util.List;
import java.util.Map;

import org.comfreywall.common.util.Bytes;

/**
 * Reads the nodes that can take part in the tree from the entries of
 * {@link StreamId#MEMBERS}.
 */
@FunctionalInterface
public interface MemberDirectory {

	/**
	 * Decodes the nodes that work and are not leaving.
	 * @param entries the entries of the members' stream
	 * @return the nodes
	 */
	List<NodeDescriptor> activeNodes(Map<String, Bytes> entries);

}
