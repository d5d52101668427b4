package org.comfreywall.control.log;

import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;

/**
 * Checks and applies changes of the membership, one at a time.
 */
final class MembershipPolicy {

	private final ReplicaState state;

	private final Map<InstanceId, FollowerProgress> progress;

	MembershipPolicy(ReplicaState state, Map<InstanceId, FollowerProgress> progress) {
		this.state = state;
		this.progress = progress;
	}

	Optional<OperationError> refusal(MembershipChange change) {
		if (this.state.log().membershipIndex() > this.state.commitIndex()) {
			return error(ErrorCode.CONFLICT, "another membership change is not committed yet; try again when it is");
		}
		if (change instanceof AddLearner add) {
			return refusal(add);
		}
		if (change instanceof PromoteLearner promote) {
			return refusal(promote);
		}
		return refusal((RemoveMember) change);
	}

	Membership apply(MembershipChange change) {
		Membership current = this.state.log().membership();
		this.state.recordDecision(DecisionKind.MEMBERSHIP, change.getClass().getSimpleName(),
				Field.of("instance", change.instance()), Field.of("members", current.members().size()));
		if (change instanceof AddLearner add) {
			return current.withLearner(add.instance(), add.storageId());
		}
		return (change instanceof PromoteLearner) ? current.withVoter(change.instance())
				: current.without(change.instance());
	}

	private Optional<OperationError> refusal(AddLearner add) {
		Membership current = this.state.log().membership();
		if (current.find(add.instance()).isPresent()) {
			return error(ErrorCode.CONFLICT, add.instance() + " is already a member; remove it first to replace it");
		}
		if (current.members().size() >= Membership.MAX_MEMBERS) {
			return error(ErrorCode.LIMIT_EXCEEDED,
					"the membership has reached its maximum of " + Membership.MAX_MEMBERS + " members");
		}
		return Optional.empty();
	}

	private Optional<OperationError> refusal(PromoteLearner promote) {
		Optional<Member> member = this.state.log().membership().find(promote.instance());
		if (member.isEmpty()) {
			return error(ErrorCode.NOT_FOUND, promote.instance() + " is not a member; add it as a learner first");
		}
		FollowerProgress follower = this.progress.get(promote.instance());
		if (follower == null || follower.matchIndex() < this.state.commitIndex()) {
			return error(ErrorCode.UNAVAILABLE, promote.instance()
					+ " has not synced the whole committed log to disk yet; try again when it has caught up");
		}
		return Optional.empty();
	}

	private Optional<OperationError> refusal(RemoveMember remove) {
		Membership current = this.state.log().membership();
		if (current.find(remove.instance()).isEmpty()) {
			return error(ErrorCode.NOT_FOUND, remove.instance() + " is not a member");
		}
		if (current.without(remove.instance()).voters().isEmpty()) {
			return error(ErrorCode.INVALID_INPUT, remove.instance() + " is the last voter; promote another one first");
		}
		return Optional.empty();
	}

	private static Optional<OperationError> error(ErrorCode code, String message) {
		return Optional.of(OperationError.local(code, Step.MEMBERSHIP, message));
	}

}
