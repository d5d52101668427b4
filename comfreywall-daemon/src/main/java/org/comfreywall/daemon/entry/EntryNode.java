package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.PeerAddress;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.attempt.AttemptClient;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The entry role of a process.
 */
public final class EntryNode implements AutoCloseable {

	private static final int RING_CAPACITY = 64 * 1024;

	private static final Duration RESUME_TIME = Duration.ofSeconds(3);

	private final Closer closer = new Closer();

	private final Transport transport;

	private final BackendDirectory directory;

	private final SerialWorker worker;

	private final CallerServer server;

	/**
	 * Starts the role.
	 * @param vertx runs the HTTP server
	 * @param transport opens connections to sidecars
	 * @param listen the address for callers
	 * @param configuration returns the configuration in force
	 * @param random breaks ties between backend servers
	 */
	public EntryNode(Vertx vertx, Transport transport, PeerAddress listen, Supplier<Configuration> configuration,
			RandomGenerator random) {
		this.transport = Preconditions.notNull(transport, "transport");
		this.worker = this.closer.register(new SerialWorker("entry", RING_CAPACITY));
		this.directory = new BackendDirectory(random);
		EntryEngine engine = new EntryEngine(this.directory, new LocalClaimStore());
		RequestResolver resolver = new RequestResolver(configuration, requestIds(transport.self()));
		this.server = this.closer
			.register(new CallerServer(vertx, listen, resolver, engine, transport.self().instance()));
	}

	/**
	 * Makes a backend server known.
	 * @param id the backend server
	 * @param service the service that it offers
	 * @param sidecar the address of its sidecar
	 * @return completes when the sidecar is connected
	 */
	public CompletableFuture<Void> announce(BackendServerId id, ServiceId service, PeerAddress sidecar) {
		AttemptClient client = new AttemptClient(this.transport, sidecar, this.worker, RESUME_TIME);
		this.directory.announce(id, service, this.closer.register(client));
		return client.connected();
	}

	/**
	 * Returns the port on which callers are served.
	 * @return the actual port
	 */
	public int port() {
		return this.server.port();
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	private static Supplier<RequestId> requestIds(PeerIdentity self) {
		AtomicLong next = new AtomicLong();
		String prefix = self.instance() + "." + Long.toString(self.incarnation().value(), Character.MAX_RADIX) + ".";
		return () -> RequestId.of(prefix + next.incrementAndGet());
	}

}
