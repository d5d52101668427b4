package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.daemon.http.HttpSecurity;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The entry role of a process: accepts requests of callers over HTTP and runs them on
 * backend servers through the sidecars.
 */
public final class EntryNode implements AutoCloseable {

	private static final int TASK_QUEUE_CAPACITY = 64 * 1024;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

	private final Closer closer = new Closer();

	private final EntryEngine engine;

	private final CallerServer server;

	/**
	 * Starts the worker thread and the HTTP server for callers.
	 * @param parts the dependencies of the role
	 * @param listen the address on which the HTTP server listens
	 * @param security the TLS settings of callers' connections
	 */
	public EntryNode(EntryParts parts, HostPort listen, HttpSecurity security) {
		Preconditions.notNull(parts, "parts");
		PeerIdentity self = parts.transport().self();
		SerialWorker worker = this.closer.register(new SerialWorker("entry", TASK_QUEUE_CAPACITY));
		RouterRegistry routers = new RouterRegistry(self.instance(), parts.domain(), parts.random(), parts.clock(),
				parts.decisions());
		this.engine = this.closer.register(new EntryEngine(parts, worker, routers));
		worker.scheduleAtFixedRate(TICK_INTERVAL, this.engine::tick);
		RequestResolver resolver = new RequestResolver(parts.configuration(), requestIdGenerator(self));
		this.server = this.closer.register(new CallerServer(parts.vertx(), listen, security, resolver, this.engine));
	}

	/**
	 * Adds a backend server, or replaces the address of its sidecar.
	 * @param sidecar the address of its sidecar
	 * @return completes when the sidecar is connected for the first time
	 */
	public CompletableFuture<Void> addBackendServer(SidecarAddress sidecar) {
		return this.engine.addBackendServer(sidecar);
	}

	/**
	 * Returns the port on which the HTTP server listens.
	 * @return the bound port, also if port 0 was configured
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Refuses new requests and lets active ones finish.
	 * @return completes when no request is active
	 */
	public CompletableFuture<Void> drain() {
		return this.engine.drain();
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	/**
	 * Returns a generator of identifiers {@code INSTANCE.INCARNATION.COUNTER}. The
	 * counter restarts with the process; the incarnation keeps identifiers unique across
	 * restarts.
	 * @param self the identity of this process
	 * @return the generator
	 */
	private static Supplier<RequestId> requestIdGenerator(PeerIdentity self) {
		AtomicLong next = new AtomicLong();
		String prefix = self.instance() + "." + Long.toString(self.incarnation().value(), Character.MAX_RADIX) + ".";
		return () -> RequestId.of(prefix + next.incrementAndGet());
	}

}
