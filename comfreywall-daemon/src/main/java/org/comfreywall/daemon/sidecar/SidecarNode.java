package org.comfreywall.daemon.sidecar;

import java.net.URI;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.PeerAddress;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportServer;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The sidecar role of a process.
 */
public final class SidecarNode implements AutoCloseable {

	private static final int RING_CAPACITY = 64 * 1024;

	private final Closer closer = new Closer();

	private final SidecarEngine engine;

	private final TransportServer server;

	/**
	 * Starts the role.
	 * @param vertx runs the HTTP client
	 * @param transport accepts connections from entries
	 * @param listen the address to listen on
	 * @param backend the backend server's base address
	 */
	public SidecarNode(Vertx vertx, Transport transport, PeerAddress listen, URI backend) {
		Preconditions.notNull(transport, "transport");
		BackendClient client = this.closer.register(new BackendClient(vertx, backend, transport.self().instance()));
		SerialWorker worker = this.closer.register(new SerialWorker("sidecar", RING_CAPACITY));
		this.engine = new SidecarEngine(transport.self(), worker, client);
		this.server = this.closer.register(transport.listen(listen, this.engine));
	}

	/**
	 * Returns the address on which entries connect.
	 * @return the address with the actual port
	 */
	public PeerAddress address() {
		return this.server.address();
	}

	/**
	 * Refuses new attempts and finishes those that run.
	 * @return completes when no attempt runs any more
	 */
	public CompletableFuture<Void> drain() {
		return this.engine.drain();
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
