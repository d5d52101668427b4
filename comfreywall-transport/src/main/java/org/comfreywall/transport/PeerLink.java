package org.comfreywall.transport;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.generated.Frame;

/**
 * Maintains one connection to a peer and reconnects with exponential backoff and jitter.
 * <p>
 * When no frame has arrived for the suspicion timeout, a second connection is opened; it
 * replaces the first once the peer has identified itself on it. The listener is notified
 * of a loss only if the current connection closes before it is replaced.
 */
public final class PeerLink implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(PeerLink.class);

	private static final long MIN_BACKOFF_MILLIS = 20;

	private static final long MAX_BACKOFF_MILLIS = 1000;

	private final Transport transport;

	private final HostPort address;

	private final PeerLinkListener listener;

	private final PeerListener events = new ConnectionEvents();

	private PeerConnection current;

	private boolean connecting;

	private boolean closed;

	private long backoffMillis = MIN_BACKOFF_MILLIS;

	/**
	 * Creates an unconnected link.
	 * @param transport opens the connections
	 * @param address the peer's address
	 * @param listener receives the link's events
	 */
	public PeerLink(Transport transport, HostPort address, PeerLinkListener listener) {
		this.transport = Preconditions.notNull(transport, "transport");
		this.address = Preconditions.notNull(address, "address");
		this.listener = Preconditions.notNull(listener, "listener");
	}

	/**
	 * Starts connecting.
	 * @return this link
	 */
	public PeerLink open() {
		connect();
		return this;
	}

	/**
	 * Opens a second connection to check whether the peer still responds; it replaces the
	 * current one once the peer has identified itself.
	 */
	public void probe() {
		connect();
	}

	/**
	 * Returns the current connection.
	 * @return the connection, or empty while disconnected
	 */
	public synchronized Optional<PeerConnection> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Returns the peer's address.
	 * @return the address
	 */
	public HostPort address() {
		return this.address;
	}

	@Override
	public void close() {
		PeerConnection last;
		synchronized (this) {
			this.closed = true;
			last = this.current;
			this.current = null;
		}
		if (last != null) {
			last.close();
		}
	}

	private void connect() {
		synchronized (this) {
			if (this.connecting || this.closed) {
				return;
			}
			this.connecting = true;
		}
		this.transport.connect(this.address, this.events).thenAccept(this::handleConnectResult);
	}

	private void handleConnectResult(boolean success) {
		if (success) {
			// The TLS handshake and the exchange of identities follow; their result is
			// passed to the ConnectionEvents.
			return;
		}
		this.listener.onDown(connectError());
		scheduleReconnect();
	}

	private void scheduleReconnect() {
		long delay;
		synchronized (this) {
			this.connecting = false;
			if (this.closed) {
				return;
			}
			delay = ThreadLocalRandom.current().nextLong(this.backoffMillis) + 1;
			this.backoffMillis = Math.min(this.backoffMillis * 2, MAX_BACKOFF_MILLIS);
		}
		this.transport.eventLoops().schedule(this::connect, delay, TimeUnit.MILLISECONDS);
	}

	private OperationError connectError() {
		return OperationError.local(ErrorCode.CONNECTION_LOST, Step.SEND, "cannot connect to " + this.address);
	}

	private final class ConnectionEvents implements PeerListener {

		@Override
		public void onOpen(PeerConnection connection) {
			PeerConnection replaced;
			synchronized (PeerLink.this) {
				PeerLink.this.connecting = false;
				PeerLink.this.backoffMillis = MIN_BACKOFF_MILLIS;
				if (PeerLink.this.closed) {
					connection.close();
					return;
				}
				replaced = PeerLink.this.current;
				PeerLink.this.current = connection;
			}
			PeerLink.this.listener.onUp(connection);
			if (replaced != null) {
				LOG.warn("connection-replaced", Field.of("peer", PeerLink.this.address));
				replaced.close();
			}
		}

		@Override
		public void onFrame(PeerConnection connection, Frame frame) {
			PeerLink.this.listener.onFrame(connection, frame);
		}

		@Override
		public void onSuspected(PeerConnection connection) {
			if (current().filter(connection::equals).isPresent()) {
				connect();
			}
		}

		@Override
		public void onClosed(PeerConnection connection, OperationError reason) {
			boolean wasCurrent;
			boolean handshakeFailed;
			synchronized (PeerLink.this) {
				wasCurrent = connection == PeerLink.this.current;
				handshakeFailed = connection.peer().isEmpty();
				if (wasCurrent) {
					PeerLink.this.current = null;
				}
			}
			if (handshakeFailed) {
				scheduleReconnect();
			}
			if (wasCurrent) {
				PeerLink.this.listener.onDown(reason);
				connect();
			}
		}

	}

}
