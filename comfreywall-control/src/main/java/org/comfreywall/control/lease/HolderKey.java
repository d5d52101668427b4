package org.comfreywall.control.lease;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;

/**
 * Identifies one incarnation of a holder's process.
 *
 * @param holder the entry instance
 * @param incarnation the incarnation of its process
 */
record HolderKey(InstanceId holder, Incarnation incarnation) implements Comparable<HolderKey> {

	@Override
	public int compareTo(HolderKey other) {
		int byHolder = this.holder.compareTo(other.holder);
		return (byHolder != 0) ? byHolder : this.incarnation.compareTo(other.incarnation);
	}

}
