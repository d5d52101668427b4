package org.comfreywall.bench.mapswitch;

import java.util.List;

import org.comfreywall.common.decision.Field;

/**
 * The counts and violations of a randomised run.
 *
 * @param steps the number of the last completed step
 * @param executions the number of checked executions, one for each step and rank
 * @param messages the number of messages sent
 * @param commits the number of switch attempts committed
 * @param aborts the number of switch attempts aborted
 * @param faults the faults injected
 * @param violations a description of each violation, up to a maximum
 * @param invariantBreaches the number of violated invariants that coordinators and agents
 * counted
 * @param stuckWindows the number of windows without faults in which the group completed
 * no step or committed no switch
 */
record RandomisedSwitchResult(long steps, long executions, long messages, long commits, long aborts, FaultCounts faults,
		List<String> violations, long invariantBreaches, int stuckWindows) {

	static RandomisedSwitchResult of(SwitchSimulation simulation, FaultInjector faults, int stuckWindows) {
		StepAudit audit = simulation.stepAudit();
		return new RandomisedSwitchResult(simulation.stepBarrier().completedStep(), audit.checkedExecutions(),
				simulation.link().sentCount(), audit.commits(), audit.aborts(), faults.counts(), audit.violations(),
				simulation.invariants().violations(), stuckWindows);
	}

	Field[] fields() {
		return new Field[] { Field.of("steps", this.steps), Field.of("step-executions-checked", this.executions),
				Field.of("messages", this.messages), Field.of("committed", this.commits),
				Field.of("aborted", this.aborts), Field.of("elections", this.faults.elections()),
				Field.of("sidecar-restarts", this.faults.restarts()),
				Field.of("replacements", this.faults.replacements()), Field.of("stalls", this.faults.stalls()) };
	}

}
