package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.time.Clock;
import org.comfreywall.control.log.LogSettings;
import org.comfreywall.control.log.Role;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.runtime.ControlNodeDependencies;
import org.comfreywall.control.runtime.ControlNodeSettings;
import org.comfreywall.control.runtime.PeerSender;
import org.comfreywall.control.state.DocumentLedger;
import org.comfreywall.control.state.EvacuationLedger;
import org.comfreywall.control.state.EvacuationOrders;
import org.comfreywall.control.state.StateMachine;
import org.comfreywall.control.state.VersionedDocument;
import org.comfreywall.control.storage.DiskStorage;
import org.comfreywall.control.storage.FolderOrigin;
import org.comfreywall.gateway.poison.PoisonEvidenceLedger;

/**
 * This process's replica of the replicated log, which is reopened after its storage has
 * failed.
 */
final class LocalReplica implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(LocalReplica.class);

	/**
	 * Number of log entries between two snapshots. Each entry contains a whole document,
	 * so the log is compacted often.
	 */
	private static final int SNAPSHOT_INTERVAL = 64;

	private static final int TRAILING_ENTRIES = 16;

	private static final int MAX_LOG_ENTRIES = 4_000;

	private static final long SEGMENT_BYTES = 4L << 20;

	private static final int QUEUE_CAPACITY = 4_096;

	private static final int MAX_BATCH = 256;

	private static final LogSettings LOG_SETTINGS = new LogSettings(Duration.ofMillis(100), Duration.ofMillis(700),
			LogSettings.DEFAULTS.clockDriftPercent(), 64, 1 << 20, 256, 4 << 20, MAX_LOG_ENTRIES, TRAILING_ENTRIES,
			64 << 10, 1_000);

	private static final ControlNodeSettings SETTINGS = new ControlNodeSettings(LOG_SETTINGS, QUEUE_CAPACITY, MAX_BATCH,
			Duration.ofMillis(1500), SNAPSHOT_INTERVAL);

	private final Path folder;

	private final InstanceId self;

	private final PeerSender sender;

	private final Consumer<VersionedDocument> documents;

	private final Consumer<EvacuationOrders> evacuations;

	private Optional<ControlNode> node = Optional.empty();

	private Optional<DiskStorage> storage = Optional.empty();

	/** The content of an empty folder; empty until the replica may be opened. */
	private Optional<FolderOrigin> origin = Optional.empty();

	private volatile long storageId;

	private boolean closed;

	/**
	 * Creates a replica that is not open yet.
	 * @param folder the data folder
	 * @param self this process's instance
	 * @param sender sends messages to the other replicas
	 * @param documents receives each document that replaces an earlier one, on the
	 * replica's thread
	 * @param evacuations receives the orders of evacuation after each change, on the
	 * replica's thread
	 */
	LocalReplica(Path folder, String self, PeerSender sender, Consumer<VersionedDocument> documents,
			Consumer<EvacuationOrders> evacuations) {
		this.folder = folder;
		this.self = InstanceId.of(self);
		this.sender = sender;
		this.documents = documents;
		this.evacuations = evacuations;
	}

	/**
	 * Returns whether the folder already contains a log.
	 * @return {@code false} if the folder is empty
	 */
	boolean hasLog() {
		return Files.exists(this.folder.resolve("FORMAT"));
	}

	/**
	 * Opens an empty folder as one of the initial voters.
	 * @param initialVoters the instances of all initial voters
	 */
	void bootstrap(List<String> initialVoters) {
		this.origin = Optional
			.of(FolderOrigin.founding(this.self, initialVoters.stream().map(InstanceId::of).toList()));
		openFolder();
	}

	/**
	 * Opens the folder. The replica of an empty folder waits until the leader adds it.
	 */
	void open() {
		this.origin = Optional.of(FolderOrigin.joining(this.self, new SecureRandom()));
		openFolder();
	}

	private void openFolder() {
		Result<DiskStorage> opened = DiskStorage.open(this.folder, this.origin.orElseThrow(), SEGMENT_BYTES);
		if (opened.error().isPresent()) {
			LOG.error("storage-not-opened", Field.of("error", opened.error().get().message()));
			if (isBeyondRepair(opened.error().get().message())) {
				deleteContents();
			}
			return;
		}
		DiskStorage open = opened.value().orElseThrow();
		this.storage = opened.value();
		this.storageId = open.storageId();
		// A folder that is emptied from now on must not found the log again.
		this.origin = Optional.of(FolderOrigin.joining(this.self, new SecureRandom()));
		StateMachine machine = new StateMachine(List.of(new DocumentLedger(this.documents),
				new EvacuationLedger(this.evacuations), new PoisonEvidenceLedger()));
		ControlNodeDependencies parts = new ControlNodeDependencies(this.self, open, machine, this.sender,
				Clock.system(), new Random(), DecisionListener.NONE, new Invariants(), new MetricRegistry());
		this.node = Optional.of(ControlNode.start(parts, SETTINGS));
		LOG.info("storage-opened", Field.of("storage-id", this.storageId));
	}

	// A replica that may have lost acknowledged entries must not vote again.
	private static boolean isBeyondRepair(String message) {
		return message.contains("replace this instance") || message.contains("damage");
	}

	private void deleteContents() {
		try (Stream<Path> files = Files.list(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
			LOG.warn("storage-emptied", Field.of("reason", "its content cannot be trusted"));
		}
		catch (IOException | UncheckedIOException ex) {
			LOG.error("storage-not-emptied", Field.of("error", ex.getMessage()));
		}
	}

	/**
	 * Opens the replica again if it has failed, or if it could not be opened when that
	 * was first tried.
	 */
	synchronized void reopenIfFailed() {
		if (this.closed) {
			return;
		}
		this.node.filter(LocalReplica::hasFailed).ifPresent((failed) -> {
			LOG.warn("storage-reopened", Field.of("storage-id", this.storageId),
					Field.of("running", failed.isRunning()));
			failed.close();
			this.node = Optional.empty();
		});
		boolean intact = this.storage.map(DiskStorage::discardUnsynced).orElse(true);
		if (this.node.isEmpty() && this.origin.isPresent() && intact) {
			openFolder();
		}
	}

	private static boolean hasFailed(ControlNode node) {
		return !node.isRunning() || node.status().role() == Role.DISABLED;
	}

	Optional<ControlNode> node() {
		return this.node;
	}

	long storageId() {
		return this.storageId;
	}

	@Override
	public synchronized void close() {
		// Maintenance may still run; it must not take the folder from the next process.
		this.closed = true;
		this.node.ifPresent(ControlNode::close);
	}

}
