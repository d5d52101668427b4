package org.comfreywall.bench.mapswitch;

import java.util.List;

import org.comfreywall.common.decision.Field;

/**
 * What a randomised run did and found.
 *
 * @param steps the steps completed
 * @param executions the executions of steps by ranks that were checked
 * @param messages the messages sent
 * @param commits the switches committed
 * @param aborts the attempts aborted
 * @param faults the faults injected
 * @param violations what the checks found
 * @param invariantBreaches breaches counted inside the cores
 * @param stuckWindows windows without faults in which the group did not go on or did not
 * switch
 */
record RandomisedSwitchResult(long steps, long executions, long messages, long commits, long aborts, FaultCounts faults,
		List<String> violations, long invariantBreaches, int stuckWindows) {

	static RandomisedSwitchResult of(SwitchWorld world, FaultInjector faults, int stuckWindows) {
		StepAudit audit = world.audit();
		return new RandomisedSwitchResult(world.lockStep().completed(), audit.checkedExecutions(), world.link().sent(),
				audit.commits(), audit.aborts(), faults.counts(), audit.violations(), world.invariants().violations(),
				stuckWindows);
	}

	Field[] fields() {
		return new Field[] { Field.of("steps", this.steps), Field.of("step-executions-checked", this.executions),
				Field.of("messages", this.messages), Field.of("committed", this.commits),
				Field.of("aborted", this.aborts), Field.of("elections", this.faults.elections()),
				Field.of("sidecar-restarts", this.faults.restarts()),
				Field.of("replacements", this.faults.replacements()), Field.of("stalls", this.faults.stalls()) };
	}

}
