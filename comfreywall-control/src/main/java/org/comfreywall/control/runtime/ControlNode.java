package org.comfreywall.control.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.log.CommandProposed;
import org.comfreywall.control.log.LogEvent;
import org.comfreywall.control.log.MembershipChange;
import org.comfreywall.control.log.MembershipProposed;
import org.comfreywall.control.log.MessageReceived;
import org.comfreywall.control.log.PeerMessage;
import org.comfreywall.control.log.ReadRequested;
import org.comfreywall.control.log.ReplicaStatus;
import org.comfreywall.control.log.TransferRequested;
import org.comfreywall.control.state.StateMachine;

/**
 * One control instance: a thread that feeds inputs from a bounded queue to the replicated
 * log and applies committed entries to the state machine.
 * <p>
 * Methods may be called on any thread and, except for {@link #close()}, do not block.
 * Futures complete on the node's thread, so dependent actions must not block. A future
 * never completes exceptionally: a failure is a {@link Result} with an error. After
 * {@code DEADLINE_EXCEEDED} the outcome is unknown; send the same command again.
 */
public final class ControlNode implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(ControlNode.class);

	private static final int TICKS_PER_HEARTBEAT = 4;

	private static final int DEADLINE_CHECKS_PER_TIMEOUT = 8;

	private final ControlNodeSettings settings;

	private final Clock clock;

	private final ControlNodeMetrics metrics;

	private final BlockingQueue<Runnable> inputQueue;

	private final NodeEngine engine;

	private final Thread thread;

	private volatile ReplicaStatus status;

	private volatile boolean closed;

	private volatile boolean ended;

	private ControlNode(ControlNodeDependencies dependencies, ControlNodeSettings settings) {
		this.settings = settings;
		this.clock = dependencies.clock();
		this.inputQueue = new ArrayBlockingQueue<>(settings.queueCapacity());
		this.metrics = new ControlNodeMetrics(dependencies.metrics(), () -> this.status);
		this.engine = new NodeEngine(dependencies, settings, this.metrics);
		this.status = this.engine.status();
		this.thread = new Thread(this::run, "control-" + dependencies.instance());
	}

	/**
	 * Starts a node.
	 * @param dependencies the collaborators of the node, which closes the storage when it
	 * is closed
	 * @param settings the settings
	 * @return the running node
	 */
	public static ControlNode start(ControlNodeDependencies dependencies, ControlNodeSettings settings) {
		Preconditions.notNull(dependencies, "dependencies");
		Preconditions.notNull(settings, "settings");
		ControlNode node = new ControlNode(dependencies, settings);
		node.thread.start();
		return node;
	}

	/**
	 * Receives a message from another control instance. The message is dropped if the
	 * input queue is full.
	 * @param message the message
	 */
	public void receive(PeerMessage message) {
		Preconditions.notNull(message, "message");
		enqueue(new MessageReceived(message));
	}

	/**
	 * Proposes a command for the state machine.
	 * @param command a command encoded by
	 * {@link org.comfreywall.control.state.LedgerCommand#encode()}
	 * @return the state machine's answer once the command is durable on a quorum, or an
	 * error; if this instance is not the leader, the error's peer is the leader, if known
	 */
	public CompletableFuture<Result<Bytes>> propose(Bytes command) {
		Preconditions.notNull(command, "command");
		return submit((id) -> new CommandProposed(id, command));
	}

	/**
	 * Proposes to add, promote or remove a control instance.
	 * @param change the change
	 * @return an empty value once the change is durable on a quorum, or an error
	 */
	public CompletableFuture<Result<Bytes>> changeMembers(MembershipChange change) {
		Preconditions.notNull(change, "change");
		return submit((id) -> new MembershipProposed(id, change));
	}

	private CompletableFuture<Result<Bytes>> submit(Function<Long, LogEvent> event) {
		CompletableFuture<Result<Bytes>> future = new CompletableFuture<>();
		long since = this.clock.nanoTime();
		if (!this.inputQueue.offer(() -> this.engine.submit(future, since, event))) {
			future.complete(Result.failure(queueFullError()));
		}
		return failIfEnded(future);
	}

	/**
	 * Performs a linearizable read: it sees every change that was acknowledged before the
	 * call.
	 * @param <T> the type of the value read
	 * @param query reads the state on the node's thread; must not block, change the state
	 * or return {@code null}
	 * @return the value, or an error; if this instance is not the leader, the error's
	 * peer is the leader, if known
	 */
	public <T> CompletableFuture<Result<T>> read(Function<StateMachine, T> query) {
		Preconditions.notNull(query, "query");
		CompletableFuture<Result<T>> future = new CompletableFuture<>();
		Consumer<OperationError> onError = (error) -> future.complete(Result.failure(error));
		long since = this.clock.nanoTime();
		Runnable action = () -> future.complete(evaluate(query));
		if (!this.inputQueue
			.offer(() -> this.engine.read(new PendingRead(action, onError, since), ReadRequested::new))) {
			onError.accept(queueFullError());
		}
		return failIfEnded(future);
	}

	private <T> Result<T> evaluate(Function<StateMachine, T> query) {
		try {
			return Result.success(query.apply(this.engine.machine()));
		}
		catch (RuntimeException ex) {
			return Result
				.failure(OperationError.local(ErrorCode.INVALID_INPUT, Step.REPLICATE, "the read failed: " + ex));
		}
	}

	/**
	 * Transfers leadership to another voter; ignored unless this instance is the leader.
	 * @param target the voter that is to become the leader
	 */
	public void transferLeadership(InstanceId target) {
		Preconditions.notNull(target, "target");
		enqueue(new TransferRequested(target));
	}

	/**
	 * Returns the status after the last batch of inputs.
	 * @return the status
	 */
	public ReplicaStatus status() {
		return this.status;
	}

	/**
	 * Returns whether the node processes its inputs.
	 * @return {@code false} once it was closed or has failed with an unexpected error
	 */
	public boolean isRunning() {
		return !this.ended;
	}

	/**
	 * Returns whether this instance holds the leader lease, so that no other instance can
	 * have been elected yet. Check it immediately before sending each order.
	 * @return {@code true} while the lease is valid
	 */
	public boolean holdsLease() {
		ReplicaStatus current = this.status;
		return current.holdsLease() && this.clock.nanoTime() - current.leaseUntil() < 0;
	}

	/**
	 * Stops the node, closes its storage and waits for the node's thread to end. Must not
	 * be called on that thread.
	 */
	@Override
	public void close() {
		this.closed = true;
		try {
			this.thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void enqueue(LogEvent event) {
		if (!this.inputQueue.offer(() -> this.engine.handle(event))) {
			this.metrics.overflows().inc();
		}
	}

	private OperationError queueFullError() {
		this.metrics.overflows().inc();
		return OperationError.local(ErrorCode.OVERLOADED, Step.REPLICATE,
				"the input queue of the control node is full; try again later");
	}

	// An input queued after the node's thread has ended would never be processed,
	// so it is failed here.
	private <T> CompletableFuture<T> failIfEnded(CompletableFuture<T> future) {
		if (this.ended) {
			failPending();
		}
		return future;
	}

	private synchronized void failPending() {
		this.engine.stop();
		processQueued(Integer.MAX_VALUE);
	}

	private void run() {
		long tick = this.settings.log().heartbeatInterval().toNanos() / TICKS_PER_HEARTBEAT;
		long nextTick = this.clock.nanoTime();
		long nextDeadlineCheck = nextTick;
		try {
			while (!this.closed) {
				awaitInput(nextTick - this.clock.nanoTime());
				processQueued(this.settings.maxBatch() - 1);
				long now = this.clock.nanoTime();
				if (now - nextTick >= 0) {
					this.engine.tick();
					nextTick = now + tick;
				}
				if (now - nextDeadlineCheck >= 0) {
					this.engine.expireCalls();
					nextDeadlineCheck = now + this.settings.proposalTimeout().toNanos() / DEADLINE_CHECKS_PER_TIMEOUT;
				}
				this.engine.endBatch();
				this.status = this.engine.status();
			}
		}
		catch (RuntimeException ex) {
			LOG.error("control-node-failed", Field.of("error", ex));
		}
		finally {
			this.ended = true;
			failPending();
			this.status = this.engine.status();
		}
	}

	private void awaitInput(long nanos) {
		try {
			Runnable first = this.inputQueue.poll(Math.max(nanos, 0), TimeUnit.NANOSECONDS);
			if (first != null) {
				first.run();
			}
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

	private void processQueued(int limit) {
		List<Runnable> inputs = new ArrayList<>();
		this.inputQueue.drainTo(inputs, limit);
		inputs.forEach(Runnable::run);
	}

}
