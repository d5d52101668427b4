package org.comfreywall.daemon.entry;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.metrics.RequestMetrics;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.Transport;

/**
 * Dependencies of the entry role.
 *
 * @param vertx runs the HTTP server for callers
 * @param transport opens connections to sidecars
 * @param domain the failure domain of this process
 * @param configuration returns the configuration in force
 * @param control reads and changes the state kept by the control instances
 * @param metrics records request counts and latencies
 * @param clock the monotonic clock for deadlines, timers and latencies
 * @param random the source of randomness for routing, retries and admission
 * @param decisions receives a record of each decision
 */
public record EntryParts(Vertx vertx, Transport transport, FailureDomainId domain,
		Supplier<Configuration> configuration, ControlPort control, RequestMetrics metrics, Clock clock,
		RandomGenerator random, DecisionListener decisions) {

	public EntryParts {
		Preconditions.notNull(vertx, "vertx");
		Preconditions.notNull(transport, "transport");
		Preconditions.notNull(domain, "domain");
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(control, "control");
		Preconditions.notNull(metrics, "metrics");
		Preconditions.notNull(clock, "clock");
		Preconditions.notNull(random, "random");
		Preconditions.notNull(decisions, "decisions");
	}

}
