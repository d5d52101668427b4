package org.comfreywall.control.runtime;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongFunction;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.ApplyEntries;
import org.comfreywall.control.log.BatchEnded;
import org.comfreywall.control.log.BatchSynced;
import org.comfreywall.control.log.CommandContent;
import org.comfreywall.control.log.DurableState;
import org.comfreywall.control.log.LogCommand;
import org.comfreywall.control.log.LogEntry;
import org.comfreywall.control.log.LogEvent;
import org.comfreywall.control.log.LogPosition;
import org.comfreywall.control.log.ProposalAccepted;
import org.comfreywall.control.log.ProposalRefused;
import org.comfreywall.control.log.ReadReady;
import org.comfreywall.control.log.ReadRefused;
import org.comfreywall.control.log.ReplicaCore;
import org.comfreywall.control.log.ReplicaIdentity;
import org.comfreywall.control.log.ReplicaStatus;
import org.comfreywall.control.log.RoleChanged;
import org.comfreywall.control.log.SaveSnapshot;
import org.comfreywall.control.log.SendMessage;
import org.comfreywall.control.log.SnapshotTaken;
import org.comfreywall.control.log.StorageFailed;
import org.comfreywall.control.log.SyncBatch;
import org.comfreywall.control.log.TimePassed;
import org.comfreywall.control.state.StateMachine;
import org.comfreywall.control.storage.LogStorage;

/**
 * Feeds events to the {@link ReplicaCore} and executes the commands that it returns; used
 * on the node's thread only.
 */
final class NodeEngine {

	private static final EventLog LOG = EventLog.of(NodeEngine.class);

	private final ControlNodeSettings settings;

	private final ControlNodeMetrics metrics;

	private final Clock clock;

	private final LogStorage storage;

	private final StateMachine machine;

	private final PeerSender sender;

	private final ReplicaCore core;

	private final PendingCalls pending = new PendingCalls();

	private long appliedIndex;

	private long snapshotIndex;

	private boolean stopped;

	NodeEngine(ControlNodeDependencies dependencies, ControlNodeSettings settings, ControlNodeMetrics metrics) {
		this.settings = settings;
		this.metrics = metrics;
		this.clock = dependencies.clock();
		this.storage = dependencies.storage();
		this.machine = dependencies.machine();
		this.sender = dependencies.sender();
		DurableState durable = dependencies.storage().recovered();
		durable.snapshot().ifPresent((snapshot) -> restore(snapshot.position().index(), snapshot.state()));
		ReplicaIdentity identity = new ReplicaIdentity(dependencies.instance(), dependencies.storage().storageId());
		this.core = new ReplicaCore(identity, settings.log(), durable, dependencies.random(), dependencies.decisions(),
				dependencies.invariants(), this.clock.nanoTime());
	}

	StateMachine machine() {
		return this.machine;
	}

	ReplicaStatus status() {
		return this.core.status(this.clock.nanoTime());
	}

	void handle(LogEvent event) {
		if (this.stopped) {
			return;
		}
		execute(this.core.handle(event, this.clock.nanoTime()));
	}

	void submit(CompletableFuture<Result<Bytes>> future, long since, Function<Long, LogEvent> event) {
		if (this.stopped) {
			future.complete(Result.failure(closedError()));
			return;
		}
		this.metrics.proposals().mark();
		future.thenAccept((result) -> recordCommitLatency(result, since));
		long id = this.pending.add(new PendingProposal(future, since, LogPosition.ORIGIN));
		handle(event.apply(id));
	}

	private void recordCommitLatency(Result<Bytes> result, long since) {
		if (result.value().isPresent()) {
			this.metrics.commit().update(this.clock.nanoTime() - since, TimeUnit.NANOSECONDS);
		}
	}

	void read(PendingRead read, LongFunction<LogEvent> event) {
		if (this.stopped) {
			read.fail(closedError());
			return;
		}
		handle(event.apply(this.pending.add(read)));
	}

	void tick() {
		handle(new TimePassed());
	}

	void expireCalls() {
		this.pending.expireBefore(this.clock.nanoTime() - this.settings.proposalTimeout().toNanos());
	}

	void endBatch() {
		handle(new BatchEnded());
		if (this.appliedIndex - this.snapshotIndex >= this.settings.snapshotInterval()) {
			takeSnapshot();
		}
	}

	void stop() {
		if (!this.stopped) {
			this.stopped = true;
			this.storage.close();
		}
		this.pending.failAll(closedError());
	}

	private static OperationError closedError() {
		return OperationError.local(ErrorCode.UNAVAILABLE, Step.REPLICATE,
				"this control node has stopped; the outcome of pending changes is unknown");
	}

	private void takeSnapshot() {
		long start = this.clock.nanoTime();
		this.snapshotIndex = this.appliedIndex;
		handle(new SnapshotTaken(this.appliedIndex, this.machine.snapshot()));
		this.metrics.snapshot().update(this.clock.nanoTime() - start, TimeUnit.NANOSECONDS);
	}

	private void execute(List<LogCommand> commands) {
		for (LogCommand command : commands) {
			if (command instanceof SendMessage send) {
				this.sender.send(send.message());
			}
			else if (command instanceof SyncBatch sync) {
				sync(sync);
			}
			else if (command instanceof ApplyEntries apply) {
				apply(apply.entries());
			}
			else if (command instanceof SaveSnapshot save) {
				saveSnapshot(save);
			}
			else {
				completeCall(command);
			}
		}
	}

	private void completeCall(LogCommand command) {
		if (command instanceof ProposalAccepted accepted) {
			this.pending.assignPosition(accepted.proposal(), accepted.position());
		}
		else if (command instanceof ProposalRefused refused) {
			this.pending.failProposal(refused.proposal(), refused.error());
		}
		else if (command instanceof ReadReady ready) {
			this.pending.confirmRead(ready.read(), ready.index(), this.appliedIndex);
		}
		else if (command instanceof ReadRefused refused) {
			this.pending.failRead(refused.read(), refused.error());
		}
		else if (command instanceof RoleChanged changed) {
			LOG.info("role-changed", Field.of("role", changed.role()), Field.of("term", changed.term()),
					Field.of("leader", changed.leader().map(Object::toString).orElse("none")));
		}
	}

	private void sync(SyncBatch sync) {
		long start = this.clock.nanoTime();
		Optional<OperationError> error = this.storage.write(sync.batch()).or(this.storage::sync);
		this.metrics.sync().update(this.clock.nanoTime() - start, TimeUnit.NANOSECONDS);
		this.metrics.batchEntries().update(sync.batch().entries().size());
		reportSync(error, sync.sequence());
	}

	private void saveSnapshot(SaveSnapshot save) {
		Optional<OperationError> error = this.storage.save(save.compaction());
		if (save.restore() && error.isEmpty()) {
			restore(save.compaction().snapshot().position().index(), save.compaction().snapshot().state());
		}
		this.snapshotIndex = save.compaction().snapshot().position().index();
		reportSync(error, save.sequence());
	}

	private void reportSync(Optional<OperationError> error, long sequence) {
		if (error.isPresent()) {
			handle(new StorageFailed(error.get()));
			this.pending.failAll(error.get());
		}
		else {
			handle(new BatchSynced(sequence));
		}
	}

	private void restore(long index, Bytes state) {
		this.machine.restore(state);
		this.appliedIndex = index;
		this.snapshotIndex = index;
	}

	private void apply(List<LogEntry> entries) {
		for (LogEntry entry : entries) {
			Result<Bytes> answer = (entry.content() instanceof CommandContent command)
					? this.machine.apply(entry.time(), command.command()) : Result.success(Bytes.EMPTY);
			this.appliedIndex = entry.index();
			this.pending.completeAt(entry.position(), answer);
		}
		this.pending.runReadsUpTo(this.appliedIndex);
	}

}
