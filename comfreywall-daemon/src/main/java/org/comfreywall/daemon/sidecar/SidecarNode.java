package org.comfreywall.daemon.sidecar;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.TransportServer;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.DrainReply;
import org.comfreywall.transport.rpc.RpcServer;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The sidecar role of a process.
 */
public final class SidecarNode implements AutoCloseable {

	private static final int TASK_QUEUE_CAPACITY = 64 * 1024;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

	private static final Duration LOAD_POLL_INTERVAL = Duration.ofMillis(500);

	private volatile Runnable drainListener = () -> {
	};

	private final Closer closer = new Closer();

	private final SidecarEngine engine;

	private final TransportServer server;

	/**
	 * Starts the role.
	 * @param parts the dependencies of the role
	 * @param listen the address to listen on
	 */
	public SidecarNode(SidecarParts parts, HostPort listen) {
		Preconditions.notNull(parts, "parts");
		Preconditions.notNull(listen, "listen");
		InstanceId self = parts.transport().self().instance();
		BackendClient client = this.closer.register(new BackendClient(parts.vertx(), parts.backend(), self));
		SerialWorker worker = this.closer.register(new SerialWorker("sidecar", TASK_QUEUE_CAPACITY));
		this.engine = new SidecarEngine(parts, worker, client);
		worker.scheduleAtFixedRate(TICK_INTERVAL, this.engine::tick);
		worker.scheduleAtFixedRate(LOAD_POLL_INTERVAL, () -> pollLoad(client, worker));
		RpcServer rpc = new RpcServer();
		rpc.register(ControlMethods.DRAIN, (caller, request) -> startDrain());
		rpc.setDefaultListener(this.engine);
		this.server = this.closer.register(parts.transport().listen(listen, rpc));
	}

	/**
	 * Returns the address on which entries connect.
	 * @return the address with the actual port
	 */
	public HostPort address() {
		return this.server.address();
	}

	/**
	 * Refuses new attempts and lets running ones finish.
	 * @return completes when all answers have been sent
	 */
	public CompletableFuture<Void> drain() {
		return this.engine.drain();
	}

	/**
	 * Sets the listener for drains requested by an operator, replacing an earlier one.
	 * @param listener called on an event loop; must not block
	 */
	public void setDrainListener(Runnable listener) {
		this.drainListener = Preconditions.notNull(listener, "listener");
	}

	private CompletionStage<Result<DrainReply>> startDrain() {
		this.engine.drain();
		this.drainListener.run();
		return CompletableFuture.completedFuture(Result.success(DrainReply.getDefaultInstance()));
	}

	private void pollLoad(BackendClient client, SerialWorker worker) {
		client.load().thenAccept((load) -> worker.execute(() -> this.engine.updateLoad(load)));
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

}
