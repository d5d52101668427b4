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
 * What a control node works with.
 *
 * @param instance the instance
 * @param storage its opened storage
 * @param machine the state machine, in its initial state
 * @param sender sends messages to the other control instances
 * @param clock the monotonic clock
 * @param random spreads the times at which instances stand for election
 * @param decisions receives elections and changes of members
 * @param invariants checks the replicated log at run time
 * @param metrics receives the node's metrics
 */
public record ControlNodeParts(InstanceId instance, LogStorage storage, StateMachine machine, PeerSender sender,
		Clock clock, RandomGenerator random, DecisionListener decisions, Invariants invariants,
		MetricRegistry metrics) {

	public ControlNodeParts {
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
