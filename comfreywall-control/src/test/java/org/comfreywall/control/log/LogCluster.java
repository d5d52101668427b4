package org.comfreywall.control.log;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.storage.MemoryStorage;

/**
 * A simulated cluster of cores that exchange messages through a queue and sync writes
 * immediately.
 */
final class LogCluster {

	static final LogSettings SETTINGS = new LogSettings(Duration.ofMillis(100), Duration.ofMillis(1000), 10, 64,
			1 << 16, 256, 1 << 16, 1000, 4, 64, 10);

	private static final Duration TICK = Duration.ofMillis(20);

	final Invariants invariants = new Invariants();

	final Map<InstanceId, ReplicaCore> cores = new TreeMap<>();

	final Map<InstanceId, MemoryStorage> storages = new TreeMap<>();

	final Map<InstanceId, List<LogEntry>> applied = new TreeMap<>();

	final Map<InstanceId, List<LogCommand>> answers = new TreeMap<>();

	final Set<InstanceId> isolated = new HashSet<>();

	private final Deque<PeerMessage> network = new ArrayDeque<>();

	long now = 1_000_000_000_000L;

	static LogCluster of(int size) {
		LogCluster cluster = new LogCluster();
		List<InstanceId> founders = IntStream.rangeClosed(1, size).mapToObj(LogCluster::id).toList();
		founders.forEach((founder) -> cluster.add(founder,
				MemoryStorage.with(BootstrapBatch.STORAGE_ID, BootstrapBatch.of(founders))));
		return cluster;
	}

	static InstanceId id(int number) {
		return InstanceId.of("c" + number);
	}

	void add(InstanceId instance, MemoryStorage storage) {
		this.storages.put(instance, storage);
		this.applied.put(instance, new ArrayList<>());
		this.answers.put(instance, new ArrayList<>());
		ReplicaIdentity identity = new ReplicaIdentity(instance, storage.storageId());
		this.cores.put(instance, new ReplicaCore(identity, SETTINGS, storage.recovered(),
				new Random(instance.value().hashCode()), DecisionListener.NONE, this.invariants, this.now));
	}

	void crash(InstanceId instance) {
		this.cores.remove(instance);
		this.storages.get(instance).crash();
	}

	void restart(InstanceId instance) {
		add(instance, this.storages.get(instance));
	}

	void event(InstanceId instance, LogEvent event) {
		ReplicaCore core = this.cores.get(instance);
		execute(instance, core.handle(event, this.now));
		execute(instance, core.handle(new BatchEnded(), this.now));
	}

	void run(Duration duration) {
		long end = this.now + duration.toNanos();
		while (this.now < end) {
			this.now += TICK.toNanos();
			List.copyOf(this.cores.keySet()).forEach((instance) -> event(instance, new TimePassed()));
			deliver();
		}
	}

	void deliver() {
		while (!this.network.isEmpty()) {
			PeerMessage message = this.network.removeFirst();
			boolean dropped = this.isolated.contains(message.from()) || this.isolated.contains(message.to());
			if (!dropped && this.cores.containsKey(message.to())) {
				event(message.to(), new MessageReceived(message));
			}
		}
	}

	Optional<InstanceId> leader() {
		return this.cores.keySet()
			.stream()
			.filter((instance) -> this.cores.get(instance).holdsLease(this.now))
			.findFirst();
	}

	InstanceId elect() {
		run(Duration.ofSeconds(5));
		return leader().orElseThrow();
	}

	InstanceId otherThan(InstanceId instance) {
		return this.cores.keySet().stream().filter((other) -> !other.equals(instance)).findFirst().orElseThrow();
	}

	void propose(InstanceId instance, String command) {
		event(instance, new CommandProposed(1, Bytes.ofText(command)));
		deliver();
	}

	ReplicaStatus status(InstanceId instance) {
		return this.cores.get(instance).status(this.now);
	}

	List<String> commands(InstanceId instance) {
		return this.applied.get(instance)
			.stream()
			.filter((entry) -> entry.content() instanceof CommandContent)
			.map((entry) -> ((CommandContent) entry.content()).command().toText())
			.toList();
	}

	private void execute(InstanceId instance, List<LogCommand> commands) {
		for (LogCommand command : commands) {
			if (command instanceof SendMessage send) {
				this.network.addLast(send.message());
			}
			else if (command instanceof SyncBatch sync) {
				sync(instance, sync);
			}
			else if (command instanceof SaveSnapshot save) {
				this.storages.get(instance).save(save.compaction());
				execute(instance, this.cores.get(instance).handle(new BatchSynced(save.sequence()), this.now));
			}
			else if (command instanceof ApplyEntries apply) {
				this.applied.get(instance).addAll(apply.entries());
			}
			else {
				this.answers.get(instance).add(command);
			}
		}
	}

	private void sync(InstanceId instance, SyncBatch sync) {
		this.storages.get(instance).write(sync.batch());
		LogEvent result = this.storages.get(instance)
			.sync()
			.<LogEvent>map(StorageFailed::new)
			.orElseGet(() -> new BatchSynced(sync.sequence()));
		execute(instance, this.cores.get(instance).handle(result, this.now));
	}

}
