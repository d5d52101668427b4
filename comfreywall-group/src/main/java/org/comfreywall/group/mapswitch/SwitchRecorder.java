package org.comfreywall.group.mapswitch;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;

/**
 * Reports a coordinator's decisions and their inputs to a {@link DecisionListener}.
 */
final class SwitchRecorder {

	private final String group;

	private final DecisionListener listener;

	SwitchRecorder(String group, DecisionListener listener) {
		this.group = group;
		this.listener = listener;
	}

	void recordArming(MapBoundary boundary, BoundaryChoice choice) {
		record("armed", Field.of("switch", boundary.attemptId()), Field.of("map", boundary.map()),
				Field.of("first-step", boundary.firstStep()), Field.of("lead-steps", choice.leadSteps()),
				Field.of("lead-ns", choice.leadNanos()), Field.of("step-ns", choice.stepNanos()));
	}

	void recordAbort(SwitchId id, String reason) {
		record("attempt-given-up", Field.of("switch", id), Field.of("reason", reason));
	}

	void recordDecision(SwitchDecision decision, LedgerState state) {
		record((decision instanceof CommitDecision) ? "committed" : "aborted", Field.of("switch", decision.id()),
				Field.of("term", state.term()), Field.of("generation", state.generation()));
	}

	private void record(String result, Field... inputs) {
		this.listener.onDecision(DecisionRecord.of(DecisionKind.SWITCH, this.group, result, inputs));
	}

}
