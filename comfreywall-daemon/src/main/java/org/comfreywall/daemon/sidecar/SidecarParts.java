package org.comfreywall.daemon.sidecar;

import java.net.URI;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.Transport;

/**
 * Dependencies of the sidecar role.
 *
 * @param vertx runs the HTTP client
 * @param transport accepts connections from entries
 * @param server the backend server that this sidecar serves
 * @param backend the base URL of the backend server
 * @param crashes receives a report of each crash of the backend server
 * @param clock the monotonic clock
 * @param decisions receives a record of each decision
 */
public record SidecarParts(Vertx vertx, Transport transport, BackendServerId server, URI backend,
		Consumer<CrashReport> crashes, Clock clock, DecisionListener decisions) {

	public SidecarParts {
		Preconditions.notNull(vertx, "vertx");
		Preconditions.notNull(transport, "transport");
		Preconditions.notNull(server, "server");
		Preconditions.notNull(backend, "backend");
		Preconditions.notNull(crashes, "crashes");
		Preconditions.notNull(clock, "clock");
		Preconditions.notNull(decisions, "decisions");
	}

}
