package org.comfreywall.gateway.fleet;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.Role;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.state.DocumentLedger;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.VersionedDocument;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LocalReplica} as the only voter.
 */
@Timeout(60)
class LocalReplicaTests {

	private static final Duration MAINTENANCE = Duration.ofMillis(20);

	@TempDir
	private Path folder;

	private FaultyDisk disk;

	private final AtomicBoolean listenerFails = new AtomicBoolean();

	private final List<Long> versions = Collections.synchronizedList(new ArrayList<>());

	private LocalReplica replica;

	@BeforeEach
	void create() {
		this.disk = new FaultyDisk(this.folder);
		this.replica = new LocalReplica(this.disk.path(this.folder), "m0", (message) -> {
		}, this::onDocument);
	}

	@AfterEach
	void close() {
		this.replica.close();
	}

	private void onDocument(VersionedDocument document) {
		if (this.listenerFails.getAndSet(false)) {
			throw new IllegalStateException("unexpected");
		}
		this.versions.add(document.version());
	}

	private boolean tryPropose(long version) {
		Bytes command = new LedgerCommand(DocumentLedger.NAME,
				new VersionedDocument(version, Bytes.ofText("v" + version)).encode())
			.encode();
		return this.replica.node()
			.filter((node) -> node.status().role() == Role.LEADER)
			.map((node) -> node.propose(command).join().value().isPresent())
			.orElse(false);
	}

	private void propose(long version) throws InterruptedException {
		while (!tryPropose(version)) {
			TimeUnit.MILLISECONDS.sleep(MAINTENANCE.toMillis());
			this.replica.reopenIfFailed();
		}
	}

	@Test
	void servesAgainAfterAnUnexpectedErrorInItsThread() throws Exception {
		this.replica.bootstrap(List.of("m0"));
		propose(1);
		this.listenerFails.set(true);
		propose(2);
		propose(3);
		assertThat(this.versions).contains(1L, 3L);
		assertThat(this.replica.node()).hasValueSatisfying((node) -> assertThat(node.isRunning()).isTrue());
	}

	@Test
	void isNotOpenedBeforeItsContentIsKnown() {
		this.replica.reopenIfFailed();
		assertThat(this.replica.node()).isEmpty();
		assertThat(this.replica.hasLog()).isFalse();
	}

	/**
	 * A disk that fills up at any write, of the first open, of an entry or of a snapshot,
	 * and stays full for a while. What was acknowledged must still be there afterwards.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 16, 20, 30, 50, 70, 72, 74, 75, 76, 77, 78, 79, 80,
			81, 82, 83, 84 })
	void keepsWhatWasAcknowledgedBeforeTheDiskWasFull(int writes) throws Exception {
		this.disk.fillUpAfter(writes);
		this.replica.bootstrap(List.of("m0"));
		long acknowledged = 0;
		long storage = this.replica.storageId();
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
		while (!this.disk.isFull() && System.nanoTime() < end) {
			if (tryPropose(acknowledged + 1)) {
				acknowledged++;
			}
			else {
				TimeUnit.MILLISECONDS.sleep(5);
			}
		}
		for (int i = 0; i < 5; i++) {
			this.replica.reopenIfFailed();
			TimeUnit.MILLISECONDS.sleep(MAINTENANCE.toMillis());
		}
		this.disk.makeRoom();
		this.versions.clear();
		propose(acknowledged + 2);
		this.replica.close();
		this.replica = new LocalReplica(this.disk.path(this.folder), "m0", (message) -> {
		}, this::onDocument);
		this.replica.open();
		if (storage != 0) {
			assertThat(this.replica.storageId()).isEqualTo(storage);
		}
		awaitVersion(acknowledged + 2);
	}

	private void awaitVersion(long version) throws InterruptedException {
		ControlNode node = this.replica.node().orElseThrow();
		while (node.status().role() != Role.LEADER || !this.versions.contains(version)) {
			TimeUnit.MILLISECONDS.sleep(5);
		}
	}

}
