package org.comfreywall.daemon.member;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;

import org.comfreywall.common.id.Revision;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.control.ControlClient;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.HeartbeatReply;
import org.comfreywall.transport.generated.HeartbeatRequest;
import org.comfreywall.transport.generated.MemberInfo;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Sends heartbeats to every control instance, and receives the configuration and the live
 * members with the replies.
 * <p>
 * After a start the first configuration comes from a confirmed read at the leader,
 * because a reply of a lagging control instance could hold an older revision than the
 * process used before it restarted.
 */
public final class MembershipClient implements AutoCloseable {

	private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

	private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1500);

	private final ControlClient control;

	private final ConfigurationHolder holder;

	private final SerialWorker worker;

	private final MemberInfo self;

	private final List<MemberListener> listeners = new CopyOnWriteArrayList<>();

	private final CompletableFuture<Void> firstConfirmation = new CompletableFuture<>();

	private volatile List<MemberInfo> members = List.of();

	private volatile boolean leaving;

	/**
	 * Creates a client.
	 * @param control the client of the control instances
	 * @param holder receives the configurations
	 * @param self the description of this process in heartbeats
	 */
	public MembershipClient(ControlClient control, ConfigurationHolder holder, MemberInfo self) {
		this.control = Preconditions.notNull(control, "control");
		this.holder = Preconditions.notNull(holder, "holder");
		this.self = Preconditions.notNull(self, "self");
		this.worker = new SerialWorker("membership", 1024);
	}

	/**
	 * Starts the periodic heartbeats.
	 */
	public void start() {
		this.worker.execute(this::sendHeartbeats);
		this.worker.scheduleAtFixedRate(HEARTBEAT_INTERVAL, this::sendHeartbeats);
	}

	/**
	 * Registers a listener.
	 * @param listener receives the members; called on the client's worker thread
	 */
	public void addListener(MemberListener listener) {
		this.listeners.add(Preconditions.notNull(listener, "listener"));
	}

	/**
	 * Returns the members of the last reply.
	 * @return the live members, sorted by instance
	 */
	public List<MemberInfo> members() {
		return this.members;
	}

	/**
	 * Returns a future for the first confirmed configuration.
	 * @return completes after the first confirmed reply
	 */
	public CompletableFuture<Void> firstConfirmation() {
		return this.firstConfirmation;
	}

	/**
	 * Reports to the control instances that this process is leaving, at once and with
	 * every later heartbeat.
	 */
	public void announceLeaving() {
		this.leaving = true;
		this.worker.offer(this::sendHeartbeats);
	}

	@Override
	public void close() {
		this.worker.close();
	}

	private void sendHeartbeats() {
		HeartbeatRequest request = HeartbeatRequest.newBuilder()
			.setMember(this.self.toBuilder().setLeaving(this.leaving).setRevision(this.holder.revision().value()))
			.setRevision(this.holder.revision().value())
			.build();
		if (!this.firstConfirmation.isDone()) {
			HeartbeatRequest first = request.toBuilder().setConfirmed(true).build();
			handleWhenReceived(this.control.callLeader(ControlMethods.HEARTBEAT, first, HEARTBEAT_TIMEOUT), true);
		}
		for (int i = 0; i < this.control.instanceCount(); i++) {
			handleWhenReceived(this.control.callInstance(i, ControlMethods.HEARTBEAT, request, HEARTBEAT_TIMEOUT),
					false);
		}
	}

	private void handleWhenReceived(CompletionStage<Result<HeartbeatReply>> stage, boolean isConfirmed) {
		stage.thenAccept((result) -> result.value()
			.ifPresent((reply) -> this.worker.offer(() -> handleReply(reply, isConfirmed))));
	}

	private void handleReply(HeartbeatReply reply, boolean isConfirmed) {
		boolean current = isConfirmed || this.firstConfirmation.isDone();
		if (current && !reply.getConfiguration().isEmpty()) {
			this.holder.update(Revision.of(reply.getRevision()), reply.getConfiguration().toStringUtf8());
		}
		else if (isConfirmed && reply.getRevision() == 0) {
			this.holder.confirmEmpty();
		}
		if (isConfirmed) {
			this.firstConfirmation.complete(null);
		}
		this.members = reply.getMembersList();
		this.listeners.forEach((listener) -> listener.onMembers(reply.getMembersList()));
	}

}
