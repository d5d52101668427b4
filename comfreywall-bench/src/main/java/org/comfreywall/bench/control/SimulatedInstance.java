package org.comfreywall.bench.control;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.ApplyEntries;
import org.comfreywall.control.log.BatchEnded;
import org.comfreywall.control.log.BatchSynced;
import org.comfreywall.control.log.CommandContent;
import org.comfreywall.control.log.CommandProposed;
import org.comfreywall.control.log.LogCommand;
import org.comfreywall.control.log.LogEntry;
import org.comfreywall.control.log.LogEvent;
import org.comfreywall.control.log.LogPosition;
import org.comfreywall.control.log.MembershipChange;
import org.comfreywall.control.log.MembershipProposed;
import org.comfreywall.control.log.ProposalAccepted;
import org.comfreywall.control.log.ReadReady;
import org.comfreywall.control.log.ReadRequested;
import org.comfreywall.control.log.ReplicaCore;
import org.comfreywall.control.log.ReplicaIdentity;
import org.comfreywall.control.log.ReplicaStatus;
import org.comfreywall.control.log.Role;
import org.comfreywall.control.log.RoleChanged;
import org.comfreywall.control.log.SaveSnapshot;
import org.comfreywall.control.log.SendMessage;
import org.comfreywall.control.log.Snapshot;
import org.comfreywall.control.log.SnapshotTaken;
import org.comfreywall.control.log.StorageFailed;
import org.comfreywall.control.log.SyncBatch;
import org.comfreywall.control.log.TimePassed;
import org.comfreywall.control.storage.MemoryStorage;

/**
 * A simulated instance: a replica core with in-memory storage, a clock of its own and a
 * state machine.
 */
final class SimulatedInstance {

	private static final long SYNC_NANOS = Duration.ofMillis(4).toNanos();

	private final SimulatedCluster cluster;

	private final InstanceId id;

	private final MemoryStorage storage;

	private final DriftingClock clock;

	private final Map<Long, Consumer<Bytes>> submittedProposals = new HashMap<>();

	private final TreeMap<Long, PendingProposal> acceptedProposals = new TreeMap<>();

	private final Map<Long, Runnable> reads = new HashMap<>();

	private final TreeMap<Long, Runnable> confirmedReads = new TreeMap<>();

	private Optional<ReplicaCore> core = Optional.empty();

	private ReplicatedState state;

	private int incarnation;

	private long nextId = 1;

	private long digest;

	private long appliedIndex;

	SimulatedInstance(SimulatedCluster cluster, InstanceId id, MemoryStorage storage, DriftingClock clock) {
		this.cluster = cluster;
		this.id = id;
		this.storage = storage;
		this.clock = clock;
		this.state = new ReplicatedState(cluster.checker());
	}

	InstanceId id() {
		return this.id;
	}

	long storageId() {
		return this.storage.storageId();
	}

	long digest() {
		return this.digest;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	ReplicatedState state() {
		return this.state;
	}

	boolean isUp() {
		return this.core.isPresent();
	}

	boolean isEnabled() {
		return status().filter((status) -> status.role() != Role.DISABLED).isPresent();
	}

	boolean isLeader() {
		return status().filter((status) -> status.role() == Role.LEADER).isPresent();
	}

	Optional<ReplicaStatus> status() {
		return this.core.map((found) -> found.status(now()));
	}

	boolean holdsLease() {
		return this.core.filter((found) -> found.holdsLease(now())).isPresent();
	}

	private long now() {
		return this.clock.readingAt(this.cluster.schedule().now());
	}

	void start() {
		this.incarnation++;
		this.state = new ReplicatedState(this.cluster.checker());
		this.digest = 0;
		this.appliedIndex = 0;
		this.storage.recovered().snapshot().ifPresent(this::restore);
		ReplicaIdentity identity = new ReplicaIdentity(this.id, this.storage.storageId());
		this.core = Optional.of(new ReplicaCore(identity, this.cluster.settings(), this.storage.recovered(),
				new Random(this.cluster.random().nextLong()), DecisionListener.NONE, this.cluster.invariants(), now()));
		tickLater(this.incarnation);
	}

	void crash() {
		this.incarnation++;
		this.core = Optional.empty();
		this.storage.crash();
		this.submittedProposals.clear();
		this.acceptedProposals.clear();
		this.reads.clear();
		this.confirmedReads.clear();
	}

	void restart() {
		crash();
		start();
	}

	void failNextSync() {
		this.storage.failNextSync();
	}

	private void tickLater(int expectedIncarnation) {
		long interval = this.cluster.settings().heartbeatInterval().toNanos() / 4;
		this.cluster.schedule().after(interval, () -> {
			if (expectedIncarnation == this.incarnation) {
				process(new TimePassed());
				tickLater(expectedIncarnation);
			}
		});
	}

	void process(LogEvent event) {
		handle(event);
		handle(new BatchEnded());
	}

	private void handle(LogEvent event) {
		this.core.ifPresent((found) -> execute(found.handle(event, now())));
	}

	void propose(Bytes command, Consumer<Bytes> onAnswer) {
		long proposal = this.nextId++;
		this.submittedProposals.put(proposal, onAnswer);
		process(new CommandProposed(proposal, command));
		this.submittedProposals.remove(proposal);
	}

	void changeMembers(MembershipChange change, Runnable onCommit) {
		long proposal = this.nextId++;
		this.submittedProposals.put(proposal, (unused) -> onCommit.run());
		process(new MembershipProposed(proposal, change));
		this.submittedProposals.remove(proposal);
	}

	void read(Runnable action) {
		long read = this.nextId++;
		this.reads.put(read, action);
		process(new ReadRequested(read));
	}

	void takeSnapshot() {
		if (isUp()) {
			byte[] encoded = this.state.machine().snapshot().toArray();
			ByteBuffer buffer = ByteBuffer.allocate(Long.BYTES + encoded.length).putLong(this.digest).put(encoded);
			process(new SnapshotTaken(this.appliedIndex, Bytes.of(buffer.array())));
		}
	}

	private void restore(Snapshot snapshot) {
		byte[] encoded = snapshot.state().toArray();
		this.digest = ByteBuffer.wrap(encoded).getLong();
		this.appliedIndex = snapshot.position().index();
		this.state.machine().restore(Bytes.of(Arrays.copyOfRange(encoded, Long.BYTES, encoded.length)));
		this.cluster.checker().checkAppliedPrefix(this.id, this.appliedIndex, this.digest);
	}

	private void execute(List<LogCommand> commands) {
		for (LogCommand command : commands) {
			if (command instanceof SendMessage send) {
				this.cluster.network().send(send.message());
			}
			else if (command instanceof SyncBatch sync) {
				this.storage.write(sync.batch());
				syncLater(sync.sequence(), this.incarnation);
			}
			else if (command instanceof SaveSnapshot save) {
				saveSnapshot(save);
			}
			else if (command instanceof ApplyEntries apply) {
				apply.entries().forEach(this::apply);
			}
			else {
				handleNotification(command);
			}
		}
	}

	private void handleNotification(LogCommand command) {
		if (command instanceof RoleChanged changed && changed.role() == Role.LEADER) {
			this.cluster.checker().checkLeader(this.id, changed.term());
		}
		else if (command instanceof ProposalAccepted proposal) {
			Consumer<Bytes> onAnswer = this.submittedProposals.get(proposal.proposal());
			this.acceptedProposals.put(proposal.position().index(), new PendingProposal(proposal.position(), onAnswer));
		}
		else if (command instanceof ReadReady ready) {
			completeRead(ready);
		}
	}

	private void completeRead(ReadReady ready) {
		Runnable action = this.reads.remove(ready.read());
		if (ready.index() <= this.appliedIndex) {
			action.run();
		}
		else {
			this.confirmedReads.put(ready.index(), action);
		}
	}

	private void syncLater(long sequence, int expectedIncarnation) {
		this.cluster.schedule().after(this.cluster.random().nextLong(SYNC_NANOS), () -> {
			if (expectedIncarnation != this.incarnation) {
				return;
			}
			process(this.storage.sync().<LogEvent>map(StorageFailed::new).orElseGet(() -> new BatchSynced(sequence)));
		});
	}

	private void saveSnapshot(SaveSnapshot save) {
		if (this.storage.save(save.compaction()).isEmpty() && save.restore()) {
			restore(save.compaction().snapshot());
		}
		syncLater(save.sequence(), this.incarnation);
	}

	private void apply(LogEntry entry) {
		this.cluster.checker()
			.check(entry.index() == this.appliedIndex + 1, "entries are applied without gaps", this.id, entry.index());
		this.appliedIndex = entry.index();
		this.digest = 31 * this.digest + entry.hashCode();
		this.cluster.checker().checkAppliedPrefix(this.id, this.appliedIndex, this.digest);
		Bytes answer = (entry.content() instanceof CommandContent command)
				? this.state.machine().apply(entry.time(), command.command()).value().orElseThrow() : Bytes.EMPTY;
		PendingProposal pending = this.acceptedProposals.remove(entry.index());
		if (pending != null && pending.position().equals(entry.position())) {
			this.cluster.checker().recordAcknowledgement(entry.index());
			pending.onAnswer().accept(answer);
		}
		this.confirmedReads.headMap(this.appliedIndex, true).values().forEach(Runnable::run);
		this.confirmedReads.headMap(this.appliedIndex, true).clear();
	}

	/** An accepted proposal whose entry has not been applied yet. */
	private record PendingProposal(LogPosition position, Consumer<Bytes> onAnswer) {

	}

}
