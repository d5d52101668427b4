package org.comfreywall.control.log;

import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.util.Preconditions;

/**
 * The status of a replica at one time.
 *
 * @param role the role
 * @param term the newest term seen
 * @param leader the leader of that term, if known
 * @param holdsLease whether the instance is the leader and no other instance can have
 * been elected
 * @param leaseUntil the monotonic clock's reading, in nanoseconds, at which the lease
 * expires; undefined unless the lease is held
 * @param commitIndex the last index known to be committed
 * @param lastIndex the last index in the log
 * @param syncedIndex the last index synced to disk
 * @param logEntries the number of entries in memory
 * @param membership the members in force
 */
public record ReplicaStatus(Role role, Term term, Optional<InstanceId> leader, boolean holdsLease, long leaseUntil,
		long commitIndex, long lastIndex, long syncedIndex, int logEntries, Membership membership) {

	public ReplicaStatus {
		Preconditions.notNull(role, "role");
		Preconditions.notNull(term, "term");
		Preconditions.notNull(leader, "leader");
		Preconditions.notNull(membership, "membership");
	}

}
