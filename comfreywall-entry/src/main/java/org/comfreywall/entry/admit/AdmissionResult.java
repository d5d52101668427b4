package org.comfreywall.entry.admit;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The decision on a request and its effect on requests already queued.
 *
 * @param decision the decision
 * @param commands commands for queued requests that are displaced
 */
public record AdmissionResult(AdmissionDecision decision, List<AdmissionCommand> commands) {

	public AdmissionResult {
		Preconditions.notNull(decision, "decision");
		commands = List.copyOf(commands);
	}

	static AdmissionResult of(AdmissionDecision decision) {
		return new AdmissionResult(decision, List.of());
	}

}
