package org.comfreywall.daemon.control;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import com.google.protobuf.ByteString;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationWriter;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.LimitDivision;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.settings.PeerSettings;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.ledger.ClaimLedgerSettings;
import org.comfreywall.control.ledger.PoisonLedgerSettings;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.PeerMessage;
import org.comfreywall.control.log.ReplicaStatus;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.runtime.ControlNodeDependencies;
import org.comfreywall.control.runtime.ControlNodeSettings;
import org.comfreywall.control.state.AcceptedChange;
import org.comfreywall.control.state.ConfigurationLedger;
import org.comfreywall.control.state.OrderTermsLedger;
import org.comfreywall.control.state.ReplicatedClaims;
import org.comfreywall.control.state.ReplicatedPoison;
import org.comfreywall.control.state.SlotReservations;
import org.comfreywall.control.state.StateMachine;
import org.comfreywall.entry.limit.GrantorRole;
import org.comfreywall.entry.limit.LimitSettings;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.HeartbeatReply;
import org.comfreywall.transport.generated.HeartbeatRequest;
import org.comfreywall.transport.generated.LeaseCall;
import org.comfreywall.transport.generated.LeaseReply;
import org.comfreywall.transport.generated.ProposeReply;
import org.comfreywall.transport.generated.ProposeRequest;
import org.comfreywall.transport.generated.QueryReply;
import org.comfreywall.transport.generated.QueryRequest;
import org.comfreywall.transport.rpc.RpcServer;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * The control role of a process: a replica of the replicated log, the grantors of limits,
 * the membership table and the flight guard.
 */
public final class ControlRole implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(ControlRole.class);

	private static final int GRANTOR_QUEUE_CAPACITY = 16;

	private static final Duration GRANTOR_REFRESH_INTERVAL = Duration.ofMillis(50);

	private final Closer closer = new Closer();

	private final AtomicReference<PublishedConfiguration> published = new AtomicReference<>(
			PublishedConfiguration.NONE);

	private final MemberTable members;

	private final LeaseGrantor primary;

	private final LeaseGrantor reserve;

	private final boolean isReserve;

	private final Term incarnationTerm;

	private final ControlNode node;

	/**
	 * Starts the role.
	 * @param parts the dependencies of the role
	 * @param server the RPC server on which the role registers its handlers
	 */
	public ControlRole(ControlParts parts, RpcServer server) {
		Preconditions.notNull(parts, "parts");
		DecisionListener decisions = parts.decisions();
		this.members = new MemberTable(parts.clock(), decisions);
		ConfigurationLedger configuration = new ConfigurationLedger(this::publish);
		PoisonVerdictPublisher poison = new PoisonVerdictPublisher(
				new ReplicatedPoison(PoisonLedgerSettings.DEFAULT, decisions));
		SlotReservations reservations = new SlotReservations();
		FlightEndpoint flights = new FlightEndpoint(poison::verdict, parts.clock());
		LimitDivision division = LimitSettings.DEFAULT.division();
		this.primary = new LeaseGrantor(division::primaryLimits,
				Optional.of(new ReplicatedReservations(this::node, reservations)), parts.clock(), decisions);
		this.reserve = new LeaseGrantor(division::reserveLimits, Optional.empty(), parts.clock(), decisions);
		this.isReserve = isReserve(parts);
		this.incarnationTerm = Term.of(parts.transport().self().incarnation().value());
		LogPeers peers = this.closer
			.register(new LogPeers(parts.transport(), parts.transport().self().instance(), parts.peers()));
		ControlNodeDependencies nodeParts = new ControlNodeDependencies(parts.transport().self().instance(),
				parts.storage(),
				new StateMachine(List.of(configuration, new OrderTermsLedger(),
						new ReplicatedClaims(ClaimLedgerSettings.DEFAULT), poison, reservations)),
				peers, parts.clock(), parts.random(), decisions, new Invariants(), parts.metrics());
		this.node = this.closer.register(ControlNode.start(nodeParts, ControlNodeSettings.DEFAULTS));
		SerialWorker worker = this.closer.register(new SerialWorker("grantor", GRANTOR_QUEUE_CAPACITY));
		worker.scheduleAtFixedRate(GRANTOR_REFRESH_INTERVAL, this::refreshGrantors);
		server.register(ControlMethods.LOG_TOPIC, (connection, payload) -> receive(payload));
		server.register(ControlMethods.PROPOSE, this::propose);
		server.register(ControlMethods.QUERY, this::query);
		server.register(ControlMethods.HEARTBEAT, this::heartbeat);
		server.register(ControlMethods.LEASE, this::lease);
		server.register(ControlMethods.REQUEST_FLIGHT_PERMIT, (caller, request) -> flights.requestPermit(request));
		server.register(ControlMethods.REPORT_FLIGHT_END, (caller, request) -> flights.recordEnd(request));
	}

	/**
	 * Returns the status of the replicated log on this instance.
	 * @return the status
	 */
	public ReplicaStatus status() {
		return this.node.status();
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	private static boolean isReserve(ControlParts parts) {
		InstanceId last = parts.peers().stream().map(PeerSettings::name).max(Comparator.naturalOrder()).orElseThrow();
		return last.equals(parts.transport().self().instance());
	}

	private CompletionStage<Result<LeaseReply>> lease(PeerIdentity caller, LeaseCall call) {
		boolean fromReserve = call.getRole().equals(GrantorRole.RESERVE.name());
		return fromReserve ? this.reserve.handleRequest(call, reserveTerm())
				: this.primary.handleRequest(call, primaryTerm());
	}

	private void refreshGrantors() {
		this.primary.updateTerm(primaryTerm());
		this.reserve.updateTerm(reserveTerm());
	}

	private Optional<Term> primaryTerm() {
		return this.node.holdsLease() ? Optional.of(this.node.status().term()) : Optional.empty();
	}

	private Optional<Term> reserveTerm() {
		return this.isReserve ? Optional.of(this.incarnationTerm) : Optional.empty();
	}

	private ControlNode node() {
		return this.node;
	}

	private void publish(AcceptedChange change, Configuration current) {
		this.primary.updateConfiguration(current);
		this.reserve.updateConfiguration(current);
		this.published.set(new PublishedConfiguration(change.revision(), ConfigurationWriter.write(current)));
	}

	private void receive(ByteString payload) {
		Result<PeerMessage> message = LogCodec.decodeMessage(Bytes.of(payload.toByteArray()));
		message.value().ifPresent(this.node::receive);
		message.error().ifPresent((error) -> LOG.warn("malformed-log-message", Field.of("error", error.message())));
	}

	private CompletionStage<Result<ProposeReply>> propose(PeerIdentity caller, ProposeRequest request) {
		return this.node.propose(Bytes.of(request.getCommand().toByteArray()))
			.thenApply((result) -> result
				.map((answer) -> ProposeReply.newBuilder().setAnswer(ByteString.copyFrom(answer.toArray())).build()));
	}

	private CompletionStage<Result<QueryReply>> query(PeerIdentity caller, QueryRequest request) {
		Bytes query = Bytes.of(request.getQuery().toByteArray());
		return this.node.read((machine) -> machine.query(query))
			.thenApply((result) -> result.flatMap((answer) -> answer)
				.map((answer) -> QueryReply.newBuilder().setAnswer(ByteString.copyFrom(answer.toArray())).build()));
	}

	private CompletionStage<Result<HeartbeatReply>> heartbeat(PeerIdentity caller, HeartbeatRequest request) {
		if (!this.members.recordHeartbeat(request.getMember())) {
			return CompletableFuture.completedFuture(Result.failure(
					OperationError.local(ErrorCode.FENCED, Step.MEMBERSHIP, "refused heartbeat: a newer incarnation of "
							+ request.getMember().getInstance() + " is registered, or the member table is full")));
		}
		if (!request.getConfirmed()) {
			return CompletableFuture.completedFuture(Result.success(reply(request)));
		}
		return this.node.read((machine) -> true).thenApply((result) -> result.map((confirmed) -> reply(request)));
	}

	private HeartbeatReply reply(HeartbeatRequest request) {
		PublishedConfiguration present = this.published.get();
		HeartbeatReply.Builder reply = HeartbeatReply.newBuilder()
			.setRevision(present.revision().value())
			.addAllMembers(this.members.live());
		if (present.revision().value() > request.getRevision()) {
			reply.setConfiguration(ByteString.copyFromUtf8(present.toml()));
		}
		return reply.build();
	}

}
