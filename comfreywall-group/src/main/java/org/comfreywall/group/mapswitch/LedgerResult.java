package org.comfreywall.group.mapswitch;

import java.util.Optional;

import org.comfreywall.common.util.Preconditions;

/**
 * The result of applying a write to the ledger.
 *
 * @param state the state after the write
 * @param decision for a commit or abort, the first decision written for the attempt;
 * empty for other writes and if the write was rejected
 * @param refusal the reason for the rejection, or empty if the write was accepted
 */
public record LedgerResult(LedgerState state, Optional<SwitchDecision> decision, Optional<LedgerRefusal> refusal) {

	public LedgerResult {
		Preconditions.notNull(state, "state");
		Preconditions.notNull(decision, "decision");
		Preconditions.notNull(refusal, "refusal");
	}

	static LedgerResult accepted(LedgerState state) {
		return new LedgerResult(state, Optional.empty(), Optional.empty());
	}

	static LedgerResult decided(LedgerState state, SwitchDecision decision) {
		return new LedgerResult(state, Optional.of(decision), Optional.empty());
	}

	static LedgerResult refused(LedgerState state, LedgerRefusal refusal) {
		return new LedgerResult(state, Optional.empty(), Optional.of(refusal));
	}

}
