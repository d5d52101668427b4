package org.comfreywall.daemon.control;

import java.util.List;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.settings.PeerSettings;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.storage.LogStorage;
import org.comfreywall.transport.Transport;

/**
 * Dependencies of the control role.
 *
 * @param transport opens connections to the other control instances
 * @param storage the storage of the replicated log in the opened data folder
 * @param peers all control instances, including this one
 * @param clock the monotonic clock
 * @param random randomizes election timeouts
 * @param metrics receives the role's metrics
 * @param decisions receives a record of each decision
 */
public record ControlParts(Transport transport, LogStorage storage, List<PeerSettings> peers, Clock clock,
		RandomGenerator random, MetricRegistry metrics, DecisionListener decisions) {

	public ControlParts {
		Preconditions.notNull(transport, "transport");
		Preconditions.notNull(storage, "storage");
		peers = List.copyOf(peers);
		Preconditions.notNull(clock, "clock");
		Preconditions.notNull(random, "random");
		Preconditions.notNull(metrics, "metrics");
		Preconditions.notNull(decisions, "decisions");
	}

}
