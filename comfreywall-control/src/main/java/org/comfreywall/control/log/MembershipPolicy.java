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
 * Decides whether a member may be added, promoted or removed.
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
			return error(ErrorCode.CONFLICT, "another change of a member is under way; try again when it is committed");
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
		Membership present = this.state.log().membership();
		this.state.decide(DecisionKind.MEMBERSHIP, change.getClass().getSimpleName(),
				Field.of("instance", change.instance()), Field.of("members", present.members().size()));
		if (change instanceof AddLearner add) {
			return present.withLearner(add.instance(), add.storageId());
		}
		return (change instanceof PromoteLearner) ? present.withVoter(change.instance())
				: present.without(change.instance());
	}

	private Optional<OperationError> refusal(AddLearner add) {
		Membership present = this.state.log().membership();
		if (present.find(add.instance()).isPresent()) {
			return error(ErrorCode.CONFLICT, add.instance() + " is a member already; remove it first to replace it");
		}
		if (present.members().size() >= Membership.MAX_MEMBERS) {
			return error(ErrorCode.LIMIT_EXCEEDED, "there are " + Membership.MAX_MEMBERS + " members already");
		}
		return Optional.empty();
	}

	private Optional<OperationError> refusal(PromoteLearner promote) {
		Optional<Member> member = this.state.log().membership().find(promote.instance());
		if (member.isEmpty()) {
			return error(ErrorCode.NOT_FOUND, promote.instance() + " is no member; add it as a learner first");
		}
		FollowerProgress known = this.progress.get(promote.instance());
		if (known == null || known.matchIndex() < this.state.commitIndex()) {
			return error(ErrorCode.UNAVAILABLE, promote.instance()
					+ " does not hold the whole committed log on synced disk yet; try again when it has caught up");
		}
		return Optional.empty();
	}

	private Optional<OperationError> refusal(RemoveMember remove) {
		Membership present = this.state.log().membership();
		if (present.find(remove.instance()).isEmpty()) {
			return error(ErrorCode.NOT_FOUND, remove.instance() + " is no member");
		}
		if (present.without(remove.instance()).voters().isEmpty()) {
			return error(ErrorCode.INVALID_INPUT, remove.instance() + " is the last voter; promote another one first");
		}
		return Optional.empty();
	}

	private static Optional<OperationError> error(ErrorCode code, String message) {
		return Optional.of(OperationError.local(code, Step.MEMBERSHIP, message));
	}

}
