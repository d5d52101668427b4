package org.comfreywall.control.log;

import java.util.Map;
import java.util.function.ToLongFunction;

import org.comfreywall.common.id.InstanceId;

/**
 * Works out from the answers of a quorum how long no other instance can be elected.
 * <p>
 * A voter that answered a message does not vote for another within the election timeout
 * after it received the message, so not within the election timeout after it was sent.
 */
final class LeaderLease {

	private final ReplicaState state;

	private final Map<InstanceId, FollowerProgress> progress;

	private final long electedAt;

	LeaderLease(ReplicaState state, Map<InstanceId, FollowerProgress> progress, long electedAt) {
		this.state = state;
		this.progress = progress;
		this.electedAt = electedAt;
	}

	// Returns how long ago the newest message that a quorum answered was sent, in
	// nanoseconds.
	long age(long now) {
		return quorumAge((known) -> known.sinceAnsweredMessage(now));
	}

	boolean holds(long now) {
		return age(now) < this.state.settings().leaseDuration().toNanos();
	}

	long until(long now) {
		return now - age(now) + this.state.settings().leaseDuration().toNanos();
	}

	// Tells whether a quorum answered within the election timeout or the term is younger.
	boolean heardQuorum(long now) {
		long timeout = this.state.settings().electionTimeout().toNanos();
		if (now - this.electedAt < timeout) {
			return true;
		}
		return quorumAge((known) -> known.heardWithin(timeout, now) ? 0 : Long.MAX_VALUE) == 0;
	}

	private long quorumAge(ToLongFunction<FollowerProgress> age) {
		Membership membership = this.state.log().membership();
		long[] ages = membership.voters()
			.stream()
			.mapToLong((voter) -> voter.instance().equals(this.state.self()) ? 0
					: age.applyAsLong(this.progress.get(voter.instance())))
			.sorted()
			.toArray();
		return (ages.length == 0) ? Long.MAX_VALUE : ages[membership.quorum() - 1];
	}

}
