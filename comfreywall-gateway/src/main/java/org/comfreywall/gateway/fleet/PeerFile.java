package org.comfreywall.gateway.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.toml.HostPort;

/**
 * File with the addresses of the other processes that have a disk, for the next start.
 * <p>
 * After all processes have stopped, the configured seeds may start late or without data,
 * while the processes that store the log could elect a leader at once if they found each
 * other. The file is a hint: if it is missing or damaged, the start only takes longer.
 */
final class PeerFile {

	private static final EventLog LOG = EventLog.of(PeerFile.class);

	private static final String NAME = "PEERS";

	private final ReplacedFile file;

	private List<HostPort> saved = List.of();

	PeerFile(Path folder) {
		this.file = new ReplacedFile(folder, NAME);
	}

	/**
	 * Reads the addresses.
	 * @return the addresses; empty if there is no readable file
	 */
	List<HostPort> load() {
		try {
			List<HostPort> peers = new ArrayList<>();
			this.file.read().forEach((line) -> HostPort.parse(line).ifPresent(peers::add));
			this.saved = List.copyOf(peers);
			return peers;
		}
		catch (IOException ex) {
			LOG.warn("peers-not-read", Field.of("error", ex.getMessage()));
			return List.of();
		}
	}

	/**
	 * Writes the addresses if they have changed. An empty list is not written, so that a
	 * process without connections keeps the addresses it had.
	 * @param peers the addresses
	 */
	void save(List<HostPort> peers) {
		List<HostPort> sorted = peers.stream().sorted((a, b) -> a.toString().compareTo(b.toString())).toList();
		if (sorted.isEmpty() || sorted.equals(this.saved)) {
			return;
		}
		try {
			this.file.write(sorted.stream().map(HostPort::toString).toList());
			this.saved = sorted;
		}
		catch (IOException ex) {
			LOG.warn("peers-not-written", Field.of("error", ex.getMessage()));
		}
	}

	/**
	 * Returns the file in the data folder of a process.
	 * @param settings the process's settings
	 * @return the file, or empty if the process has no disk
	 */
	static Optional<PeerFile> of(FleetSettings settings) {
		return settings.dataFolder().map(PeerFile::new);
	}

}
