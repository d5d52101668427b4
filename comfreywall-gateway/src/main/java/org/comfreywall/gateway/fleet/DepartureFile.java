package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.gateway.pool.Departure;

/**
 * File with the backend servers that have announced that they leave. Without it, an
 * announcement from before that arrives late would bring a server back into use after a
 * restart of all processes.
 */
final class DepartureFile {

	private static final EventLog LOG = EventLog.of(DepartureFile.class);

	private static final String NAME = "DEPARTED";

	private final ReplacedFile file;

	private final Predicate<Runnable> worker;

	private Map<Departure, Long> unsaved = Map.of();

	private CompletableFuture<Boolean> pending = CompletableFuture.completedFuture(true);

	/**
	 * Creates the file's object; the file is written with the first departure.
	 * @param folder the data folder of the process
	 * @param worker runs a task on the thread that may wait for the disk; returns
	 * {@code false} if it cannot
	 */
	DepartureFile(Path folder, Predicate<Runnable> worker) {
		this.file = new ReplacedFile(folder, NAME);
		this.worker = worker;
	}

	/**
	 * Reads the departures. Called on the thread that may wait for the disk.
	 * @param now the time of day in milliseconds
	 * @return their ages; empty if there is no readable file
	 */
	Map<Departure, Duration> load(long now) {
		Map<Departure, Duration> loaded = new HashMap<>();
		try {
			this.file.read().forEach((line) -> parse(line, now, loaded));
			LOG.info("departures-read", Field.of("servers", loaded.size()));
		}
		catch (IOException ex) {
			LOG.warn("departures-not-read", Field.of("error", ex.getMessage()));
		}
		return loaded;
	}

	private static void parse(String line, long now, Map<Departure, Duration> loaded) {
		try {
			String[] fields = line.split(" ");
			long age = Math.max(0, now - Long.parseLong(fields[1]));
			String server = URLDecoder.decode(fields[2], StandardCharsets.UTF_8);
			loaded.put(new Departure(server, Long.parseLong(fields[0])), Duration.ofMillis(age));
		}
		catch (IllegalArgumentException | IndexOutOfBoundsException ex) {
			LOG.warn("departure-not-readable", Field.of("line", line), Field.of("error", ex.getMessage()));
		}
	}

	/**
	 * Writes the departures. Calls that come while the disk is busy are written together.
	 * @param departures their ages in nanoseconds
	 * @return completes once they are on disk, with {@code false} if that failed
	 */
	synchronized CompletableFuture<Boolean> save(Map<Departure, Long> departures) {
		if (!this.unsaved.isEmpty()) {
			this.unsaved = departures;
			return this.pending;
		}
		this.unsaved = departures;
		CompletableFuture<Boolean> saved = new CompletableFuture<>();
		this.pending = saved;
		if (!this.worker.test(() -> saved.complete(write()))) {
			this.unsaved = Map.of();
			LOG.warn("departures-not-written", Field.of("error", "too many tasks wait for the disk"));
			saved.complete(false);
		}
		return saved;
	}

	private boolean write() {
		Map<Departure, Long> departures = take();
		long now = System.currentTimeMillis();
		List<String> lines = departures.entrySet()
			.stream()
			.map((each) -> each.getKey().startedMillis() + " " + (now - TimeUnit.NANOSECONDS.toMillis(each.getValue()))
					+ " " + URLEncoder.encode(each.getKey().server(), StandardCharsets.UTF_8))
			.toList();
		try {
			this.file.write(lines);
			return true;
		}
		catch (IOException ex) {
			LOG.warn("departures-not-written", Field.of("error", ex.getMessage()));
			return false;
		}
	}

	private synchronized Map<Departure, Long> take() {
		Map<Departure, Long> departures = this.unsaved;
		this.unsaved = Map.of();
		return departures;
	}

}
