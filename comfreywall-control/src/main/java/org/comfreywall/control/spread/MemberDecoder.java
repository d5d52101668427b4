package org.comfreywall.control.spread;

import java.util.List;
import java.util.Map;

import org.comfreywall.common.util.Bytes;

/**
 * Decodes the entries of the {@link StreamId#MEMBERS} stream.
 */
@FunctionalInterface
public interface MemberDecoder {

	/**
	 * Decodes the active members: those that have neither failed nor started to leave.
	 * Only these are part of the planned relay tree.
	 * @param entries the entries of the membership stream
	 * @return the active members' nodes
	 */
	List<NodeDescriptor> decodeActiveNodes(Map<String, Bytes> entries);

}
