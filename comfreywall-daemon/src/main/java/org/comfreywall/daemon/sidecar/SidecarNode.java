package org.comfreywall.daemon.sidecar;

import java.net.URI;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportServer;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The sidecar role of a process.
 */
public final class SidecarNode implements AutoCloseable {

	private static final int RING_CAPACITY = 64 * 1024;

	private static final Duration TICK = Duration.ofMillis(200);

	private static final Duration LOAD_INTERVAL = Duration.ofMillis(500);

	private final Closer closer = new Closer();

	private final SidecarEngine engine;

	private final TransportServer server;

	/**
	 * Starts the role.
	 * @param vertx runs the HTTP client
	 * @param transport accepts connections from entries
	 * @param listen the address to listen on
	 * @param server the backend server beside this process
	 * @param backend the backend server's base address
	 * @param crashes receives crashes of the backend server
	 * @param decisions receives a record of each decision
	 */
	public SidecarNode(Vertx vertx, Transport transport, HostPort listen, BackendServerId server, URI backend,
			Consumer<CrashReport> crashes, DecisionListener decisions) {
		Preconditions.notNull(transport, "transport");
		BackendClient client = this.closer.register(new BackendClient(vertx, backend, transport.self().instance()));
		SerialWorker worker = this.closer.register(new SerialWorker("sidecar", RING_CAPACITY));
		this.engine = new SidecarEngine(server, transport.self(), worker, client, Clock.system(), crashes, decisions);
		worker.every(TICK, this.engine::tick);
		worker.every(LOAD_INTERVAL, () -> pollLoad(client, worker));
		this.server = this.closer.register(transport.listen(listen, this.engine));
	}

	/**
	 * Returns the address on which entries connect.
	 * @return the address with the actual port
	 */
	public HostPort address() {
		return this.server.address();
	}

	/**
	 * Refuses new attempts and finishes those that run.
	 * @return completes when no attempt runs any more
	 */
	public CompletableFuture<Void> drain() {
		return this.engine.drain();
	}

	private void pollLoad(BackendClient client, SerialWorker worker) {
		client.load().thenAccept((load) -> worker.execute(() -> this.engine.loadReported(load)));
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
