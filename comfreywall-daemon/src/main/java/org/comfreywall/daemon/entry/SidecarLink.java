package org.comfreywall.daemon.entry;

import java.time.Duration;
import java.util.Optional;

import org.comfreywall.common.attempt.AttemptTarget;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.entry.request.ConnectionLost;
import org.comfreywall.entry.request.ConnectionRestored;
import org.comfreywall.entry.request.RequestEvent;
import org.comfreywall.entry.request.SidecarLost;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.PeerLink;
import org.comfreywall.transport.PeerLinkListener;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.attempt.AttemptDecoder;
import org.comfreywall.transport.generated.Frame;
import org.comfreywall.transport.generated.Load;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The link to the sidecar of one backend server. Its state is confined to the entry's
 * worker thread.
 */
final class SidecarLink implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(SidecarLink.class);

	/** The time without a connection after which the sidecar is reported lost. */
	private static final Duration LOST_TIMEOUT = Duration.ofSeconds(3);

	private final BackendServerId server;

	private final ServiceId service;

	private final FailureDomainId domain;

	private final SerialWorker worker;

	private final SidecarLinkListener listener;

	private final PeerLink link;

	private Optional<Incarnation> currentIncarnation = Optional.empty();

	private long window;

	private long outageCount;

	private boolean connected;

	SidecarLink(SidecarAddress sidecar, Transport transport, SerialWorker worker, SidecarLinkListener listener) {
		this.server = sidecar.server();
		this.service = sidecar.service();
		this.domain = sidecar.domain();
		this.worker = worker;
		this.listener = listener;
		this.link = new PeerLink(transport, sidecar.address(), new LinkEvents());
	}

	void open() {
		this.link.open();
	}

	BackendServerId server() {
		return this.server;
	}

	ServiceId service() {
		return this.service;
	}

	FailureDomainId domain() {
		return this.domain;
	}

	HostPort address() {
		return this.link.address();
	}

	Optional<Incarnation> currentIncarnation() {
		return this.currentIncarnation;
	}

	Optional<AttemptTarget> target() {
		return this.currentIncarnation.map((incarnation) -> new AttemptTarget(this.server, incarnation, this.window));
	}

	boolean send(Incarnation recipient, Frame frame) {
		Optional<PeerConnection> connection = this.link.current()
			.filter((open) -> open.peer().filter((peer) -> peer.incarnation().equals(recipient)).isPresent());
		connection.ifPresent((open) -> open.send(frame));
		return connection.isPresent();
	}

	void probe() {
		this.link.probe();
	}

	@Override
	public void close() {
		this.link.close();
	}

	private void handleUp(Incarnation incarnation) {
		this.connected = true;
		Optional<Incarnation> known = this.currentIncarnation;
		if (known.filter(incarnation::equals).isPresent()) {
			this.listener.onEvent(new ConnectionRestored(this.server, incarnation));
			return;
		}
		reportLost();
		this.currentIncarnation = Optional.of(incarnation);
		this.window = 0;
		this.listener.onFirstConnected(this, incarnation);
	}

	private void handleDown() {
		if (!this.connected) {
			return;
		}
		this.connected = false;
		this.outageCount++;
		long outageNumber = this.outageCount;
		this.currentIncarnation
			.ifPresent((incarnation) -> this.listener.onEvent(new ConnectionLost(this.server, incarnation)));
		this.worker.schedule(LOST_TIMEOUT, () -> {
			if (!this.connected && this.outageCount == outageNumber) {
				reportLost();
			}
		});
	}

	private void reportLost() {
		this.currentIncarnation.ifPresent((incarnation) -> {
			this.currentIncarnation = Optional.empty();
			this.listener.onEvent(new SidecarLost(this.server, incarnation));
			this.listener.onLost(this, incarnation);
		});
	}

	private void handleFrame(PeerConnection connection, Frame frame) {
		if (frame.hasLoad()) {
			handleLoad(frame.getLoad());
			return;
		}
		Result<RequestEvent> event = AttemptDecoder.fromSidecar(frame, this.server);
		event.value().ifPresent(this.listener::onEvent);
		event.error().ifPresent((error) -> {
			LOG.warn("malformed-frame", Field.of("peer", this.server), Field.of("error", error.message()));
			connection.close();
		});
	}

	private void handleLoad(Load load) {
		if (this.currentIncarnation.filter((incarnation) -> incarnation.value() == load.getIncarnation()).isPresent()) {
			this.window = Math.max(this.window, load.getWindow());
			this.listener.onLoad(this, load);
		}
	}

	/**
	 * Forwards the link's events to the worker thread. If the task queue is full, closes
	 * the connection, so that no frame is skipped unnoticed.
	 */
	private final class LinkEvents implements PeerLinkListener {

		@Override
		public void onUp(PeerConnection connection) {
			Incarnation incarnation = connection.peer().orElseThrow().incarnation();
			offer(connection, () -> handleUp(incarnation));
		}

		@Override
		public void onFrame(PeerConnection connection, Frame frame) {
			offer(connection, () -> handleFrame(connection, frame));
		}

		@Override
		public void onDown(OperationError reason) {
			SidecarLink.this.worker.executeEventually(SidecarLink.this::handleDown);
		}

		private void offer(PeerConnection connection, Runnable task) {
			if (!SidecarLink.this.worker.offer(task)) {
				LOG.warn("entry-overloaded", Field.of("peer", SidecarLink.this.server));
				connection.close();
			}
		}

	}

}
