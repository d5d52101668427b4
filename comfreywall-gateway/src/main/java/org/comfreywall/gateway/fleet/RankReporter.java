package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.group.RankReport;

/**
 * Sends the reports of a rank to the leader. Discovers the leader by sending reports to
 * other processes, which redirect to it.
 * <p>
 * Not thread-safe. It has no thread of its own: {@link #poll()} reads replies and notices
 * timeouts, and must be called every few tens of milliseconds.
 */
public final class RankReporter implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(RankReporter.class);

	/** Allows for a busy leader; a round trip within a region takes milliseconds. */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(200);

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(200);

	private final String instance;

	private final long incarnation = System.currentTimeMillis();

	private final LeaderDiscovery discovery;

	private HostPort target;

	private Optional<RankConnection> connection = Optional.empty();

	private boolean pending;

	private long pendingCall;

	private long sentAt;

	private boolean closed;

	/**
	 * Creates a reporter.
	 * @param instance the name of this process's instance
	 * @param seeds the addresses of processes that know the leader
	 */
	public RankReporter(String instance, List<HostPort> seeds) {
		this.instance = Preconditions.notBlank(instance, "instance");
		this.discovery = new LeaderDiscovery(seeds);
		updateTarget();
	}

	/**
	 * Adds seeds in front of the processes that are already known.
	 * @param seeds the addresses of processes that know the leader
	 */
	public void addSeeds(List<HostPort> seeds) {
		this.discovery.addSeeds(seeds);
	}

	/**
	 * Returns whether the last report was neither acknowledged nor has failed.
	 * @return {@code true} if another report would not be sent
	 */
	public boolean isPending() {
		return this.pending;
	}

	/**
	 * Sends a report unless the last one is pending or this reporter was closed. May wait
	 * 200 ms for a new connection.
	 * @param service the service that the rank belongs to
	 * @param report the report
	 * @param choiceCounts the number of times that the rank's requests were routed to
	 * each expert since its previous counts, set by set; empty if unknown
	 */
	public void report(String service, RankReport report, int[] choiceCounts) {
		if (this.closed || this.pending) {
			return;
		}
		this.pending = true;
		this.sentAt = System.nanoTime();
		try {
			if (this.connection.isEmpty()) {
				this.connection = Optional
					.of(RankConnection.open(this.target, this.instance, this.incarnation, CONNECT_TIMEOUT));
			}
			this.pendingCall = this.connection.get()
				.call(RankMethods.RANK_NAME, RankNoticeEncoder.encode(service, report, choiceCounts));
		}
		catch (IOException ex) {
			handleFailure(ex.getMessage());
		}
	}

	/**
	 * Reads replies and gives a report up that was not acknowledged in time.
	 */
	public void poll() {
		if (this.connection.isPresent()) {
			try {
				this.connection.get().poll().forEach(this::handleReply);
			}
			catch (IOException ex) {
				handleFailure(ex.getMessage());
			}
		}
		if (this.pending && System.nanoTime() - this.sentAt > CALL_TIMEOUT.toNanos()) {
			handleFailure("no reply");
		}
	}

	private void handleReply(RankReply reply) {
		if (!this.pending || reply.call() != this.pendingCall) {
			return;
		}
		if (!reply.accepted()) {
			handleFailure("refused");
			return;
		}
		this.pending = false;
		this.discovery.handleReply(reply.leader(), reply.members(), System.nanoTime());
		updateTarget();
	}

	private void handleFailure(String reason) {
		closeConnection();
		if (this.pending) {
			this.pending = false;
			LOG.debug("report-failed", Field.of("address", this.target), Field.of("reason", reason));
			this.discovery.handleTimeout(System.nanoTime());
			updateTarget();
		}
	}

	private void updateTarget() {
		if (!this.discovery.current().equals(this.target)) {
			closeConnection();
			this.target = this.discovery.current();
			LOG.info("reporting-to", Field.of("address", this.target));
		}
	}

	private void closeConnection() {
		this.connection.ifPresent(RankConnection::close);
		this.connection = Optional.empty();
	}

	@Override
	public void close() {
		this.closed = true;
		closeConnection();
	}

}
