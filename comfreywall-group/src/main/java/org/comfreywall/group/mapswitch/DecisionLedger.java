package org.comfreywall.group.mapswitch;

import java.util.Optional;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Deterministic state machine of a group's map and membership, to be replicated by a log.
 * <p>
 * Every control instance that applies the same writes in the same order reaches the same
 * state. The first decision written for an attempt is final. Writes of earlier terms are
 * rejected, and so is a commit if the membership changed after the ranks were armed.
 */
public final class DecisionLedger {

	private final int ranks;

	private LedgerState state;

	/**
	 * Creates a ledger.
	 * @param ranks the number of ranks in the group
	 * @param state the initial state, for example from a snapshot
	 */
	public DecisionLedger(int ranks, LedgerState state) {
		Preconditions.check(ranks >= 1, "ranks must be at least 1: %d", ranks);
		this.ranks = ranks;
		this.state = Preconditions.notNull(state, "state");
	}

	/**
	 * Returns the current state.
	 * @return the state
	 */
	public LedgerState state() {
		return this.state;
	}

	/**
	 * Applies one write.
	 * @param write the write
	 * @return the state after the write, its decision if any, and the refusal if the
	 * write was rejected
	 */
	public LedgerResult apply(LedgerWrite write) {
		Preconditions.notNull(write, "write");
		if (write.term().isBefore(this.state.term())) {
			return reject(LedgerRefusal.OLD_TERM);
		}
		if (write instanceof OpenTerm open) {
			return open(open);
		}
		if (!write.term().equals(this.state.term())) {
			return reject(LedgerRefusal.OLD_TERM);
		}
		if (write instanceof InstallMap install) {
			return install(install);
		}
		if (write instanceof AssignMember assign) {
			return assign(assign);
		}
		if (write instanceof CommitSwitch commit) {
			return commit(commit);
		}
		return abort((AbortSwitch) write);
	}

	private LedgerResult open(OpenTerm open) {
		if (!open.term().equals(this.state.term())) {
			this.state = this.state.withTerm(open.term());
		}
		return LedgerResult.accepted(this.state);
	}

	private LedgerResult install(InstallMap install) {
		Optional<MapBoundary> last = this.state.timeline().last();
		if (last.isPresent()) {
			boolean same = last.get().map().equals(install.map());
			return same ? LedgerResult.accepted(this.state) : reject(LedgerRefusal.MAP_INSTALLED);
		}
		this.state = this.state.withFirstMap(new MapBoundary(0, install.map(), SwitchId.ZERO));
		return LedgerResult.accepted(this.state);
	}

	private LedgerResult assign(AssignMember assign) {
		Member member = assign.member();
		if (this.state.isAssigned(assign.rank(), member)) {
			return LedgerResult.accepted(this.state);
		}
		if (assign.rank() >= this.ranks || isServerAssignedToOtherRank(assign)) {
			return reject(LedgerRefusal.INVALID_RANK);
		}
		Incarnation latest = this.state.latestIncarnations().get(member.server());
		if (latest != null && member.incarnation().compareTo(latest) <= 0) {
			return reject(LedgerRefusal.REUSED_MEMBER);
		}
		this.state = this.state.withMember(assign.rank(), member);
		return LedgerResult.accepted(this.state);
	}

	private boolean isServerAssignedToOtherRank(AssignMember assign) {
		return this.state.members()
			.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getKey() != assign.rank()
					&& entry.getValue().server().equals(assign.member().server()));
	}

	private LedgerResult commit(CommitSwitch commit) {
		MapBoundary boundary = commit.boundary();
		Optional<SwitchDecision> decided = this.state.decisionOf(boundary.attemptId());
		if (decided.isPresent()) {
			return LedgerResult.decided(this.state, decided.get());
		}
		if (this.state.members().size() < this.ranks) {
			return reject(LedgerRefusal.INCOMPLETE_GROUP);
		}
		if (commit.generation() != this.state.generation()) {
			return reject(LedgerRefusal.OTHER_GENERATION);
		}
		Optional<MapBoundary> last = this.state.timeline().last();
		if (last.isEmpty() || boundary.firstStep() <= last.get().firstStep()) {
			return reject(LedgerRefusal.STEP_NOT_AFTER_LAST);
		}
		this.state = this.state.withBoundary(boundary);
		return LedgerResult.decided(this.state, new CommitDecision(boundary));
	}

	private LedgerResult abort(AbortSwitch abort) {
		Optional<SwitchDecision> decided = this.state.decisionOf(abort.id());
		if (decided.isPresent()) {
			return LedgerResult.decided(this.state, decided.get());
		}
		this.state = this.state.withAbort(abort.id());
		return LedgerResult.decided(this.state, new AbortDecision(abort.id()));
	}

	private LedgerResult reject(LedgerRefusal refusal) {
		return LedgerResult.refused(this.state, refusal);
	}

}
