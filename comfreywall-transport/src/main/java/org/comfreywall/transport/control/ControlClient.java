package org.comfreywall.transport.control;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import com.google.protobuf.Message;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.generated.ProposeReply;
import org.comfreywall.transport.generated.ProposeRequest;
import org.comfreywall.transport.generated.QueryReply;
import org.comfreywall.transport.generated.QueryRequest;
import org.comfreywall.transport.rpc.RpcClient;
import org.comfreywall.transport.rpc.RpcMethod;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Calls the control instances and discovers the leader among them.
 * <p>
 * Calls to the leader are retried until their timeout, also if a reply was lost; that is
 * safe because commands are idempotent.
 */
public final class ControlClient implements AutoCloseable {

	private static final Duration RETRY_DELAY = Duration.ofMillis(30);

	private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(1500);

	private final List<RpcClient> clients;

	private final SerialWorker worker;

	private volatile int preferredIndex;

	/**
	 * Creates a client and starts connecting.
	 * @param transport opens connections
	 * @param control the addresses of the control instances
	 * @param worker runs retries
	 */
	public ControlClient(Transport transport, List<HostPort> control, SerialWorker worker) {
		Preconditions.notNull(transport, "transport");
		Preconditions.check(!control.isEmpty(), "control must not be empty");
		this.worker = Preconditions.notNull(worker, "worker");
		this.clients = control.stream().map((address) -> new RpcClient(transport, address)).toList();
	}

	/**
	 * Proposes a command to the leader.
	 * @param command the encoded command
	 * @param timeout the longest time to retry
	 * @return completes with the answer of the state machine or an error
	 */
	public CompletableFuture<Result<Bytes>> propose(Bytes command, Duration timeout) {
		ProposeRequest request = ProposeRequest.newBuilder().setCommand(ByteString.copyFrom(command.toArray())).build();
		return callLeader(ControlMethods.PROPOSE, request, timeout)
			.thenApply((result) -> result.map(ProposeReply::getAnswer).map(ControlClient::bytes));
	}

	/**
	 * Reads the replicated state at the leader.
	 * @param query the encoded query
	 * @param timeout the longest time to retry
	 * @return completes with the answer or an error
	 */
	public CompletableFuture<Result<Bytes>> query(Bytes query, Duration timeout) {
		QueryRequest request = QueryRequest.newBuilder().setQuery(ByteString.copyFrom(query.toArray())).build();
		return callLeader(ControlMethods.QUERY, request, timeout)
			.thenApply((result) -> result.map(QueryReply::getAnswer).map(ControlClient::bytes));
	}

	/**
	 * Calls the leader, retrying on other instances until it replies or the timeout is
	 * exceeded.
	 * @param <Q> the request's type
	 * @param <R> the reply's type
	 * @param method the method
	 * @param request the request
	 * @param timeout the longest time to retry
	 * @return completes with the reply or an error
	 */
	public <Q extends Message, R extends Message> CompletableFuture<Result<R>> callLeader(RpcMethod<Q, R> method,
			Q request, Duration timeout) {
		CompletableFuture<Result<R>> done = new CompletableFuture<>();
		long deadline = System.nanoTime() + timeout.toNanos();
		new LeaderCall<>(method, request, deadline, done).sendAttempt();
		return done;
	}

	/**
	 * Calls one control instance without retries.
	 * @param <Q> the request's type
	 * @param <R> the reply's type
	 * @param index any number, taken modulo the number of instances
	 * @param method the method
	 * @param request the request
	 * @param timeout the longest time to wait for the reply
	 * @return completes with the reply or an error
	 */
	public <Q extends Message, R extends Message> CompletableFuture<Result<R>> callInstance(int index,
			RpcMethod<Q, R> method, Q request, Duration timeout) {
		return this.clients.get(Math.floorMod(index, this.clients.size())).call(method, request, timeout);
	}

	/**
	 * Calls the connected control instance with the greatest name, which clients use as
	 * the reserve grantor, without retries.
	 * @param <Q> the request's type
	 * @param <R> the reply's type
	 * @param method the method
	 * @param request the request
	 * @param timeout the longest time to wait for the reply
	 * @return completes with the reply or an error
	 */
	public <Q extends Message, R extends Message> CompletableFuture<Result<R>> callReserveGrantor(
			RpcMethod<Q, R> method, Q request, Duration timeout) {
		Comparator<RpcClient> byName = Comparator
			.comparing((client) -> client.peer().map((peer) -> peer.instance().value()).orElse(""));
		RpcClient last = this.clients.stream().max(byName).orElseThrow();
		return last.call(method, request, timeout);
	}

	/**
	 * Returns the number of control instances.
	 * @return the count
	 */
	public int instanceCount() {
		return this.clients.size();
	}

	@Override
	public void close() {
		this.clients.forEach(RpcClient::close);
	}

	private void updatePreferred(Optional<InstanceId> leader, int tried) {
		int next = (tried + 1) % this.clients.size();
		for (int i = 0; i < this.clients.size(); i++) {
			Optional<InstanceId> instance = this.clients.get(i).peer().map(PeerIdentity::instance);
			if (i != tried && leader.isPresent() && instance.equals(leader)) {
				next = i;
			}
		}
		this.preferredIndex = next;
	}

	private static Bytes bytes(ByteString value) {
		return Bytes.of(value.toByteArray());
	}

	/**
	 * A call that is retried until the leader replies or the deadline is exceeded.
	 *
	 * @param <Q> the request's type
	 * @param <R> the reply's type
	 */
	private final class LeaderCall<Q extends Message, R extends Message> {

		private final RpcMethod<Q, R> method;

		private final Q request;

		private final long deadline;

		private final CompletableFuture<Result<R>> done;

		LeaderCall(RpcMethod<Q, R> method, Q request, long deadline, CompletableFuture<Result<R>> done) {
			this.method = method;
			this.request = request;
			this.deadline = deadline;
			this.done = done;
		}

		void sendAttempt() {
			int tried = ControlClient.this.preferredIndex;
			Duration remaining = Duration.ofNanos(Math.max(1, this.deadline - System.nanoTime()));
			Duration timeout = (remaining.compareTo(ATTEMPT_TIMEOUT) < 0) ? remaining : ATTEMPT_TIMEOUT;
			ControlClient.this.clients.get(tried)
				.call(this.method, this.request, timeout)
				.thenAccept((result) -> handleResult(tried, result));
		}

		private void handleResult(int tried, Result<R> result) {
			Optional<OperationError> error = result.error().filter(this::isRetryable);
			if (error.isEmpty()) {
				this.done.complete(result);
				return;
			}
			updatePreferred(error.get().peer(), tried);
			if (System.nanoTime() + RETRY_DELAY.toNanos() >= this.deadline) {
				this.done.complete(Result.failure(OperationError.local(ErrorCode.UNAVAILABLE, Step.REPLICATE,
						"no leader among the control instances replied before the deadline; last error: "
								+ error.get().message())));
				return;
			}
			ControlClient.this.worker.schedule(RETRY_DELAY, this::sendAttempt);
		}

		private boolean isRetryable(OperationError error) {
			return switch (error.code()) {
				case UNAVAILABLE, CONNECTION_LOST, DEADLINE_EXCEEDED, OVERLOADED, NOT_FOUND -> true;
				default -> false;
			};
		}

	}

}
