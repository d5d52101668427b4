package org.comfreywall.control.spread;

import java.util.List;
import java.util.Map;

import org.comfreywall.common.util.Bytes;

/**
 * Decodes the nodes that can be part of the tree from the entries of
 * {@link StreamId#MEMBERS}.
 */
@FunctionalInterface
public interface MemberDirectory {

	/**
	 * Decodes the nodes that have neither failed nor started to leave.
	 * @param entries the entries of the membership stream
	 * @return the nodes
	 */
	List<NodeDescriptor> activeNodes(Map<String, Bytes> entries);

}
