package org.comfreywall.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.Snapshot;

/**
 * Writes and reads snapshot files.
 */
final class SnapshotFiles {

	private static final String PREFIX = "snapshot-";

	private static final long MAGIC = 0x434657534e415031L;

	private static final int HEADER_BYTES = Long.BYTES + Integer.BYTES;

	private SnapshotFiles() {
	}

	static void write(DataFolder folder, Snapshot snapshot) throws IOException {
		byte[] body = LogCodec.encodeSnapshot(snapshot).toArray();
		ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES);
		header.putLong(MAGIC).putInt(Segment.crc(body, 0, body.length));
		folder.writeFile(name(snapshot), header.array(), body);
	}

	private static String name(Snapshot snapshot) {
		return String.format("%s%020d-%020d", PREFIX, snapshot.position().index(), snapshot.position().term().value());
	}

	static void deleteOlderThan(DataFolder folder, Snapshot snapshot) throws IOException {
		for (Path file : folder.files(PREFIX)) {
			if (file.getFileName().toString().compareTo(name(snapshot)) < 0) {
				Files.delete(file);
			}
		}
	}

	// Reads the newest snapshot. A file is synced before it is renamed to its final name,
	// so a wrong checksum means damage, not an interrupted write.
	static Optional<Snapshot> readNewest(DataFolder folder) throws IOException {
		List<Path> files = folder.files(PREFIX);
		if (files.isEmpty()) {
			return Optional.empty();
		}
		Path newest = files.get(files.size() - 1);
		Optional<Snapshot> snapshot = decode(Files.readAllBytes(newest));
		if (snapshot.isEmpty()) {
			throw new StorageException("the snapshot " + newest
					+ " is damaged; nothing was changed: replace this instance by one with an empty folder");
		}
		return snapshot;
	}

	private static Optional<Snapshot> decode(byte[] content) {
		if (content.length < HEADER_BYTES) {
			return Optional.empty();
		}
		ByteBuffer header = ByteBuffer.wrap(content);
		boolean intact = header.getLong() == MAGIC
				&& header.getInt() == Segment.crc(content, HEADER_BYTES, content.length - HEADER_BYTES);
		if (!intact) {
			return Optional.empty();
		}
		return LogCodec.decodeSnapshot(Bytes.of(Arrays.copyOfRange(content, HEADER_BYTES, content.length))).value();
	}

}
