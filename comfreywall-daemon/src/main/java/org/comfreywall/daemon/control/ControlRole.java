package org.comfreywall.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import com.google.protobuf.ByteString;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationWriter;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.ledger.ClaimLedgerSettings;
import org.comfreywall.control.ledger.PoisonLedgerSettings;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.PeerMessage;
import org.comfreywall.control.log.ReplicaStatus;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.runtime.ControlNodeParts;
import org.comfreywall.control.runtime.ControlNodeSettings;
import org.comfreywall.control.state.AcceptedChange;
import org.comfreywall.control.state.ConfigurationLedger;
import org.comfreywall.control.state.OrderTermsLedger;
import org.comfreywall.control.state.ReplicatedClaims;
import org.comfreywall.control.state.ReplicatedPoison;
import org.comfreywall.control.state.StateMachine;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.HeartbeatReply;
import org.comfreywall.transport.generated.HeartbeatRequest;
import org.comfreywall.transport.generated.ProposeReply;
import org.comfreywall.transport.generated.ProposeRequest;
import org.comfreywall.transport.generated.QueryReply;
import org.comfreywall.transport.generated.QueryRequest;
import org.comfreywall.transport.rpc.RpcServer;

/**
 * The control role of a process.
 */
public final class ControlRole implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(ControlRole.class);

	private final Closer closer = new Closer();

	private final AtomicReference<PublishedConfiguration> published = new AtomicReference<>(
			PublishedConfiguration.NONE);

	private final MemberTable members;

	private final ControlNode node;

	/**
	 * Starts the role.
	 * @param parts what the role works with
	 * @param server the server on which calls and messages arrive
	 */
	public ControlRole(ControlParts parts, RpcServer server) {
		Preconditions.notNull(parts, "parts");
		DecisionListener decisions = parts.decisions();
		this.members = new MemberTable(parts.clock(), decisions);
		ConfigurationLedger configuration = new ConfigurationLedger(this::publish);
		PublishedPoison poison = new PublishedPoison(new ReplicatedPoison(PoisonLedgerSettings.DEFAULT, decisions));
		FlightEndpoint flights = new FlightEndpoint(poison::verdict, parts.clock());
		LogPeers peers = this.closer
			.register(new LogPeers(parts.transport(), parts.transport().self().instance(), parts.peers()));
		ControlNodeParts nodeParts = new ControlNodeParts(parts.transport().self().instance(), parts.storage(),
				new StateMachine(List.of(configuration, new OrderTermsLedger(),
						new ReplicatedClaims(ClaimLedgerSettings.DEFAULT), poison)),
				peers, parts.clock(), parts.random(), decisions, new Invariants(), parts.metrics());
		this.node = this.closer.register(ControlNode.start(nodeParts, ControlNodeSettings.DEFAULTS));
		server.register(ControlMethods.LOG_TOPIC, (connection, payload) -> receive(payload));
		server.register(ControlMethods.PROPOSE, this::propose);
		server.register(ControlMethods.QUERY, this::query);
		server.register(ControlMethods.HEARTBEAT, this::heartbeat);
		server.register(ControlMethods.ASK_FLIGHT, (caller, request) -> flights.ask(request));
		server.register(ControlMethods.END_FLIGHT, (caller, request) -> flights.end(request));
	}

	/**
	 * Returns what the replicated log knows.
	 * @return the status
	 */
	public ReplicaStatus status() {
		return this.node.status();
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	private void publish(AcceptedChange change, Configuration present) {
		this.published.set(new PublishedConfiguration(change.revision(), ConfigurationWriter.write(present)));
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
		if (!this.members.heard(request.getMember())) {
			return CompletableFuture.completedFuture(Result.failure(OperationError.local(ErrorCode.FENCED,
					Step.MEMBERSHIP, "a newer incarnation of " + request.getMember().getInstance() + " is known")));
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
