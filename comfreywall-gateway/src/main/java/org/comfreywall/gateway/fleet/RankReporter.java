package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.gateway.group.RankReport;
import org.comfreywall.transport.ConnectionTimeouts;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportSecurity;
import org.comfreywall.transport.generated.ExpertList;
import org.comfreywall.transport.generated.RankNotice;
import org.comfreywall.transport.generated.RankNoticeReply;
import org.comfreywall.transport.rpc.RpcClient;

/**
 * Sends the reports of a rank to the leader. Discovers the leader by sending reports to
 * other processes, which redirect to it.
 */
public final class RankReporter implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(RankReporter.class);

	/** Allows for a busy leader; a round trip within a region takes milliseconds. */
	private static final Duration CALL_TIMEOUT = Duration.ofMillis(200);

	private static final ConnectionTimeouts CONNECTION_TIMEOUTS = new ConnectionTimeouts(Duration.ofMillis(1000),
			Duration.ofMillis(2500), Duration.ofMillis(4000), Duration.ofMillis(500));

	private final Transport transport;

	private final Runnable onEnd;

	private final LeaderDiscovery discovery;

	private HostPort target;

	private RpcClient client;

	private boolean closed;

	/**
	 * Creates a reporter.
	 * @param instance the name of this process's instance
	 * @param seeds the addresses of processes that know the leader
	 * @param onEnd called on a transport thread when a report was acknowledged or has
	 * failed, unless reports are sent to another process or over a new connection by then
	 */
	public RankReporter(String instance, List<HostPort> seeds, Runnable onEnd) {
		PeerIdentity self = new PeerIdentity(InstanceId.of(instance), Incarnation.of(System.currentTimeMillis()));
		this.transport = new Transport(self, CONNECTION_TIMEOUTS, TransportSecurity.PLAIN, 1);
		this.onEnd = Preconditions.notNull(onEnd, "onEnd");
		this.discovery = new LeaderDiscovery(seeds);
		updateTarget();
	}

	/**
	 * Adds seeds in front of the processes that are already known.
	 * @param seeds the addresses of processes that know the leader
	 */
	public synchronized void addSeeds(List<HostPort> seeds) {
		this.discovery.addSeeds(seeds);
	}

	/**
	 * Sends a report unless this reporter was closed.
	 * @param service the service that the rank belongs to
	 * @param report the report
	 * @param choiceCounts the number of times that the rank's requests were routed to
	 * each expert since its previous counts, set by set; empty if unknown
	 */
	public synchronized void report(String service, RankReport report, int[] choiceCounts) {
		if (this.closed) {
			return;
		}
		RankNotice.Builder notice = RankNotice.newBuilder()
			.setService(service)
			.setServer(report.server())
			.setGroup(report.group())
			.setEpoch(report.epoch())
			.setRank(report.rank())
			.setSize(report.size())
			.setOpen(report.open())
			.setStep(report.step())
			.setMapVersion(report.mapVersion())
			.setPreparedVersion(report.preparedVersion())
			.setArmedVersion(report.armedVersion())
			.setHeldStep(report.heldStep().orElse(-1))
			.setPace(report.slowdown());
		for (int count : choiceCounts) {
			notice.addChosen(count);
		}
		report.layout().forEach((set) -> notice.addLayout(ExpertList.newBuilder().addAllExperts(set)));
		RpcClient used = this.client;
		used.call(RankMethods.RANK, notice.build(), CALL_TIMEOUT)
			.thenAccept((reply) -> handleReply(used, reply.value()));
	}

	private synchronized void handleReply(RpcClient used, Optional<RankNoticeReply> reply) {
		if (this.closed || used != this.client) {
			return;
		}
		long now = System.nanoTime();
		if (reply.isPresent()) {
			List<HostPort> members = new ArrayList<>();
			reply.get().getMembersList().forEach((member) -> HostPort.parse(member).ifPresent(members::add));
			this.discovery.handleReply(HostPort.parse(reply.get().getLeader()), members, now);
		}
		else {
			this.discovery.handleTimeout(now);
			this.client.close();
			this.client = new RpcClient(this.transport, this.target);
		}
		updateTarget();
		this.onEnd.run();
	}

	private void updateTarget() {
		if (this.discovery.current().equals(this.target)) {
			return;
		}
		if (this.client != null) {
			this.client.close();
		}
		this.target = this.discovery.current();
		LOG.info("reporting-to", Field.of("address", this.target));
		this.client = new RpcClient(this.transport, this.target);
	}

	// The transport waits for its event loop, which needs the lock to handle a reply.
	@Override
	public void close() {
		RpcClient last;
		synchronized (this) {
			this.closed = true;
			last = this.client;
		}
		last.close();
		this.transport.close();
	}

}
