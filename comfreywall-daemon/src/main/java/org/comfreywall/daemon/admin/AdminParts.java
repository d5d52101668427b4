package org.comfreywall.daemon.admin;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.metrics.LabelledHistograms;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.daemon.member.ConfigurationHolder;
import org.comfreywall.daemon.member.MembershipClient;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.control.ControlClient;

/**
 * Dependencies of the admin interface.
 *
 * @param vertx runs the HTTP server
 * @param transport opens connections to sidecars
 * @param control the client of the control instances
 * @param members provides the live members
 * @param configuration the configuration in force
 * @param decisions the decision records of this process
 * @param registry the counters and gauges
 * @param histograms the histograms, each with a label
 * @param status returns the status of the roles of this process
 * @param notReady returns the reason why the process is not ready, or empty if it is
 */
public record AdminParts(Vertx vertx, Transport transport, ControlClient control, MembershipClient members,
		ConfigurationHolder configuration, DecisionHistory decisions, MetricRegistry registry,
		List<LabelledHistograms> histograms, Supplier<JsonObject> status, Supplier<Optional<String>> notReady) {

	public AdminParts {
		Preconditions.notNull(vertx, "vertx");
		Preconditions.notNull(transport, "transport");
		Preconditions.notNull(control, "control");
		Preconditions.notNull(members, "members");
		Preconditions.notNull(configuration, "configuration");
		Preconditions.notNull(decisions, "decisions");
		Preconditions.notNull(registry, "registry");
		histograms = List.copyOf(histograms);
		Preconditions.notNull(status, "status");
		Preconditions.notNull(notReady, "notReady");
	}

}
