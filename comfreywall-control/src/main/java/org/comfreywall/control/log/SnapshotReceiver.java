package org.comfreywall.control.log;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.comfreywall.common.util.Bytes;

/**
 * Reassembles the chunks of a snapshot sent by the leader; buffers one snapshot at a
 * time.
 */
final class SnapshotReceiver {

	private ByteArrayOutputStream received = new ByteArrayOutputStream();

	private LogPosition position = LogPosition.ORIGIN;

	// Appends a chunk if it is the next one and returns the snapshot if it is complete.
	Optional<Snapshot> onChunk(SnapshotChunk chunk) {
		if (!chunk.position().equals(this.position)) {
			clear();
			this.position = chunk.position();
		}
		if (chunk.offset() != this.received.size()) {
			return Optional.empty();
		}
		this.received.writeBytes(chunk.data().toArray());
		return chunk.last() ? complete() : Optional.empty();
	}

	private Optional<Snapshot> complete() {
		Optional<Snapshot> snapshot = LogCodec.decodeSnapshot(Bytes.of(this.received.toByteArray())).value();
		clear();
		return snapshot;
	}

	long nextOffset() {
		return this.received.size();
	}

	void clear() {
		this.received = new ByteArrayOutputStream();
		this.position = LogPosition.ORIGIN;
	}

}
