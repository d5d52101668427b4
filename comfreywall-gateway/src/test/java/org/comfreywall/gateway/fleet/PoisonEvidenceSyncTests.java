package org.comfreywall.gateway.fleet;

import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.Role;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.gateway.poison.CrashCharge;
import org.comfreywall.gateway.poison.PoisonEvidence;
import org.comfreywall.gateway.poison.PoisonEvidenceCodec;
import org.comfreywall.gateway.poison.PoisonEvidenceLedger;
import org.comfreywall.gateway.poison.StoredPoisonEvidence;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PoisonEvidenceSync} with one voter.
 */
@Timeout(60)
class PoisonEvidenceSyncTests {

	@TempDir
	private Path folder;

	private LocalReplica replica;

	private final ExecutorService loop = Executors.newSingleThreadExecutor();

	private volatile boolean leaderKnown = true;

	private volatile boolean supported = true;

	private volatile boolean probationRunning;

	private volatile PoisonEvidence unstored = PoisonEvidence.NONE;

	private final FleetListener listener = (FleetListener) Proxy.newProxyInstance(getClass().getClassLoader(),
			new Class<?>[] { FleetListener.class }, (proxy, method, args) -> switch (method.getName()) {
				case "takeUnstoredPoisonEvidence" -> this.unstored;
				case "isPoisonProbationRunning" -> this.probationRunning;
				case "onPoisonEvidenceProposed" -> {
					this.unstored = ((boolean) args[1]) ? PoisonEvidence.NONE : this.unstored;
					yield null;
				}
				default -> null;
			});

	private final PoisonEvidenceSync sync = new PoisonEvidenceSync(this.loop, this::leader, () -> this.supported,
			this.listener);

	@BeforeEach
	void open() throws InterruptedException {
		this.replica = new LocalReplica(this.folder, "m0", (message) -> {
		}, (document) -> {
		}, (orders) -> {
		});
		this.replica.bootstrap(List.of("m0"));
		await(() -> this.replica.node().orElseThrow().status().role() == Role.LEADER);
	}

	@AfterEach
	void close() {
		this.loop.shutdown();
		this.replica.close();
	}

	private LeaderClient leader() {
		return new LeaderClient(this.leaderKnown ? this.replica.node() : Optional.empty(), Optional.empty());
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		long end = System.nanoTime() + Duration.ofSeconds(30).toNanos();
		while (!condition.getAsBoolean() && System.nanoTime() < end) {
			TimeUnit.MILLISECONDS.sleep(10);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	private StoredPoisonEvidence stored() {
		return leader().read(new LedgerCommand(PoisonEvidenceLedger.NAME, Bytes.EMPTY))
			.join()
			.value()
			.flatMap(PoisonEvidenceCodec::decodeAnswer)
			.orElseThrow();
	}

	private void observeCrash() {
		CrashCharge charge = new CrashCharge("10.0.0.1:1@5", "r1", List.of(), "digest", false, System.nanoTime());
		this.unstored = new PoisonEvidence(List.of(charge), Map.of(), Map.of());
	}

	private void tick(boolean leads) {
		CompletableFuture.runAsync(() -> this.sync.tick(leads), this.loop).join();
	}

	private boolean isStoredAfterTick() {
		tick(false);
		return this.unstored.isEmpty();
	}

	private boolean isRead() {
		return CompletableFuture.supplyAsync(this.sync::readNewest, this.loop).thenCompose((read) -> read).join();
	}

	@Test
	void whatCannotBeStoredWithoutALeaderIsStoredLater() throws Exception {
		await(this::isRead);
		observeCrash();
		this.leaderKnown = false;
		for (int i = 0; i < 3; i++) {
			assertThat(isStoredAfterTick()).isFalse();
		}
		this.leaderKnown = true;
		await(this::isStoredAfterTick);
		assertThat(stored().evidence().charges()).hasSize(1);
	}

	/**
	 * A replica of a version without the ledger would miss the evidence for good.
	 */
	@Test
	void nothingIsStoredBeforeAllReplicasHaveTheLedger() throws Exception {
		await(this::isRead);
		observeCrash();
		this.supported = false;
		for (int i = 0; i < 3; i++) {
			assertThat(isStoredAfterTick()).isFalse();
		}
		assertThat(stored().evidence().isEmpty()).isTrue();
		this.supported = true;
		await(this::isStoredAfterTick);
	}

	/**
	 * A new leader takes the log time of the last entry, so without entries a probation
	 * would begin again after a restart.
	 */
	@Test
	void theLeaderMovesTheLogTimeOnDuringAProbation() throws Exception {
		await(this::isRead);
		TimeUnit.MILLISECONDS.sleep(5);
		this.probationRunning = true;
		tick(false);
		assertThat(stored().logTimeMillis()).isZero();
		tick(true);
		await(() -> stored().logTimeMillis() > 0);
	}

}
