package org.comfreywall.bench.control;

import java.util.List;

import org.comfreywall.control.ledger.ClaimLedgerSettings;
import org.comfreywall.control.state.ConfigurationLedger;
import org.comfreywall.control.state.ReplicatedClaims;
import org.comfreywall.control.state.StateMachine;

/**
 * The replicated state of one instance. Reports each accepted configuration change to the
 * checker.
 */
final class ReplicatedState {

	private final ConfigurationLedger configuration;

	private final StateMachine machine;

	ReplicatedState(SafetyChecker checker) {
		this.configuration = new ConfigurationLedger(
				(change, configuration) -> checker.checkAcceptedChange(change.revision(), change.change()));
		ReplicatedClaims claims = new ReplicatedClaims(ClaimLedgerSettings.DEFAULT);
		this.machine = new StateMachine(List.of(this.configuration, claims));
	}

	ConfigurationLedger configuration() {
		return this.configuration;
	}

	StateMachine machine() {
		return this.machine;
	}

}
