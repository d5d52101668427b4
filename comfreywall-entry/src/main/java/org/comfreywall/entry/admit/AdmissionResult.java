package org.comfreywall.entry.admit;

import java.util.List;

import org.comfreywall.common.util.Preconditions;

/**
 * The decision on a request and what it means for requests queued before.
 *
 * @param decision the decision
 * @param commands commands for queued requests that have to give way
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
