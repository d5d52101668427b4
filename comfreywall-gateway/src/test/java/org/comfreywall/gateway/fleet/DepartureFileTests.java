package org.comfreywall.gateway.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.comfreywall.gateway.pool.Departure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DepartureFile}.
 */
class DepartureFileTests {

	private static final Departure ONE = new Departure("server one/ü", 7);

	private static final Departure TWO = new Departure("two", 8);

	private final List<Runnable> tasks = new ArrayList<>();

	@TempDir
	private Path folder;

	private DepartureFile open() {
		return new DepartureFile(this.folder, this.tasks::add);
	}

	private Map<Departure, Duration> load() {
		return open().load(System.currentTimeMillis());
	}

	private void runTasks() {
		List.copyOf(this.tasks).forEach(Runnable::run);
		this.tasks.clear();
	}

	@Test
	void readsWhatWasWrittenWithItsAge() {
		CompletableFuture<Boolean> saved = open().save(Map.of(ONE, TimeUnit.SECONDS.toNanos(30), TWO, 0L));
		assertThat(saved).isNotDone();
		runTasks();
		assertThat(saved).isCompletedWithValue(true);
		assertThat(load()).containsOnlyKeys(ONE, TWO);
		assertThat(load().get(ONE)).isBetween(Duration.ofSeconds(30), Duration.ofSeconds(60));
	}

	@Test
	void departuresThatComeWhileTheDiskIsBusyAreWrittenTogether() {
		DepartureFile file = open();
		CompletableFuture<Boolean> first = file.save(Map.of(ONE, 0L));
		CompletableFuture<Boolean> second = file.save(Map.of(ONE, 0L, TWO, 0L));
		assertThat(this.tasks).hasSize(1);
		runTasks();
		assertThat(first).isCompletedWithValue(true);
		assertThat(second).isCompletedWithValue(true);
		assertThat(load()).containsOnlyKeys(ONE, TWO);
	}

	@Test
	void aFolderThatRefusesTheFileIsReported() throws Exception {
		Files.createDirectories(this.folder.resolve("DEPARTED.tmp"));
		CompletableFuture<Boolean> saved = open().save(Map.of(ONE, 0L));
		runTasks();
		assertThat(saved).isCompletedWithValue(false);
	}

	@Test
	void aFullQueueIsReported() {
		DepartureFile file = new DepartureFile(this.folder, (task) -> false);
		assertThat(file.save(Map.of(ONE, 0L))).isCompletedWithValue(false);
	}

	@Test
	void aMissingFileAndDamagedLinesAreNoError() throws Exception {
		assertThat(load()).isEmpty();
		Files.writeString(this.folder.resolve("DEPARTED"), "what\nx y z\n7 8\n8 9 two\n");
		assertThat(load()).containsOnlyKeys(TWO);
	}

}
