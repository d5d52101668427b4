package org.comfreywall.control.log;

import java.util.Map;
import java.util.function.ToLongFunction;

import org.comfreywall.common.id.InstanceId;

/**
 * The leader lease: the time during which no other instance can be elected, derived from
 * the replies of a quorum.
 * <p>
 * A voter that replied to a message of the leader does not vote for another candidate
 * within the election timeout after it received the message, and so not within the
 * election timeout after the message was sent.
 */
final class LeaderLease {

	private final ReplicaState state;

	private final Map<InstanceId, FollowerProgress> progress;

	private final long electedAtNanos;

	LeaderLease(ReplicaState state, Map<InstanceId, FollowerProgress> progress, long electedAtNanos) {
		this.state = state;
		this.progress = progress;
		this.electedAtNanos = electedAtNanos;
	}

	// Returns the time since the newest message that a quorum replied to was sent, in
	// nanoseconds.
	long quorumAnsweredMessageAge(long now) {
		return quorumAge((follower) -> follower.answeredMessageAge(now));
	}

	boolean isInForce(long now) {
		return quorumAnsweredMessageAge(now) < this.state.settings().leaseDuration().toNanos();
	}

	long expiresAtNanos(long now) {
		return now - quorumAnsweredMessageAge(now) + this.state.settings().leaseDuration().toNanos();
	}

	// Returns whether a quorum replied within the election timeout, or the leader was
	// elected within it.
	boolean hasQuorumContact(long now) {
		long timeout = this.state.settings().electionTimeout().toNanos();
		if (now - this.electedAtNanos < timeout) {
			return true;
		}
		// 0 for a voter that replied in time, so that the quorum's age is 0 if enough
		// voters did.
		return quorumAge((follower) -> follower.repliedWithin(timeout, now) ? 0 : Long.MAX_VALUE) == 0;
	}

	// Returns the smallest age that a quorum of voters, this instance included, does not
	// exceed. The age of this instance is 0.
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
