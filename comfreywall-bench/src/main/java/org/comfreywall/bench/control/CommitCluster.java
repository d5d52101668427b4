package org.comfreywall.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.time.Clock;
import org.comfreywall.control.ledger.ClaimLedgerSettings;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.LogSettings;
import org.comfreywall.control.log.PeerMessage;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.runtime.ControlNodeDependencies;
import org.comfreywall.control.runtime.ControlNodeSettings;
import org.comfreywall.control.state.ReplicatedClaims;
import org.comfreywall.control.state.StateMachine;
import org.comfreywall.control.storage.DiskStorage;
import org.comfreywall.control.storage.FolderOrigin;

/**
 * Runs the control nodes of one cluster in this process. Each node syncs its log to files
 * in a temporary folder. Messages are encoded and decoded but delivered by a method call
 * instead of a network.
 */
final class CommitCluster implements AutoCloseable {

	private static final LogSettings LOG_SETTINGS = new LogSettings(Duration.ofMillis(100), Duration.ofSeconds(3), 10,
			4096, 1 << 20, 65_536, 4 << 20, 1_000_000, 10_000, 256 << 10, 10_000);

	private final Closer closer = new Closer();

	private final Path folder;

	private final Map<InstanceId, ControlNode> nodes = new ConcurrentHashMap<>();

	CommitCluster(int size, int maxGroup) throws IOException {
		this.folder = Files.createTempDirectory("control-log");
		this.closer.register(this::deleteFolder);
		List<InstanceId> initialMembers = IntStream.rangeClosed(1, size)
			.mapToObj((i) -> InstanceId.of("c" + i))
			.toList();
		ControlNodeSettings settings = new ControlNodeSettings(LOG_SETTINGS, 200_000, maxGroup, Duration.ofSeconds(30),
				500_000);
		initialMembers.forEach((member) -> start(member, initialMembers, settings));
	}

	private void start(InstanceId instance, List<InstanceId> initialMembers, ControlNodeSettings settings) {
		DiskStorage storage = DiskStorage
			.open(this.folder.resolve(instance.value()), FolderOrigin.founding(instance, initialMembers),
					DiskStorage.DEFAULT_SEGMENT_BYTES)
			.value()
			.orElseThrow();
		ControlNodeDependencies dependencies = new ControlNodeDependencies(instance, storage,
				new StateMachine(List.of(new ReplicatedClaims(ClaimLedgerSettings.DEFAULT))), this::deliver,
				Clock.system(), new Random(instance.value().hashCode()), DecisionListener.NONE, new Invariants(),
				new MetricRegistry());
		this.nodes.put(instance, this.closer.register(ControlNode.start(dependencies, settings)));
	}

	private void deliver(PeerMessage message) {
		ControlNode peer = this.nodes.get(message.to());
		if (peer != null) {
			LogCodec.decodeMessage(LogCodec.encodeMessage(message)).value().ifPresent(peer::receive);
		}
	}

	ControlNode awaitLeader() throws InterruptedException {
		while (true) {
			for (ControlNode node : this.nodes.values()) {
				if (node.holdsLease()) {
					return node;
				}
			}
			Thread.sleep(10);
		}
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	private void deleteFolder() throws IOException {
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach(CommitCluster::delete);
		}
	}

	private static void delete(Path file) {
		try {
			Files.delete(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
