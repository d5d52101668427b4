package org.comfreywall.control.runtime;

import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.state.StateMachine;
import org.comfreywall.control.storage.LogStorage;

/**
 * The collaborators of a {@link ControlNode}.
 *
 * @param instance the id of the control instance
 * @param storage its opened storage
 * @param machine the state machine, in its initial state
 * @param sender sends messages to the other control instances
 * @param clock the monotonic clock
 * @param random randomizes election timeouts
 * @param decisions receives records of elections and membership changes
 * @param invariants checks invariants of the replicated log at run time
 * @param metrics the registry for the node's metrics
 */
public record ControlNodeDependencies(InstanceId instance, LogStorage storage, StateMachine machine, PeerSender sender,
		Clock clock, RandomGenerator random, DecisionListener decisions, Invariants invariants,
		MetricRegistry metrics) {

	public ControlNodeDependencies {
		Preconditions.notNull(instance, "instance");
		Preconditions.notNull(storage, "storage");
		Preconditions.notNull(machine, "machine");
		Preconditions.notNull(sender, "sender");
		Preconditions.notNull(clock, "clock");
		Preconditions.notNull(random, "random");
		Preconditions.notNull(decisions, "decisions");
		Preconditions.notNull(invariants, "invariants");
		Preconditions.notNull(metrics, "metrics");
	}

}
