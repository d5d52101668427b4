package org.comfreywall.control.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.comfreywall.common.util.Bytes;

/**
 * An encoded snapshot divided into chunks.
 */
final class ChunkedSnapshot {

	private final LogPosition position;

	private final List<Bytes> chunks;

	private final int chunkBytes;

	private ChunkedSnapshot(LogPosition position, List<Bytes> chunks, int chunkBytes) {
		this.position = position;
		this.chunks = chunks;
		this.chunkBytes = chunkBytes;
	}

	static ChunkedSnapshot of(Snapshot snapshot, int chunkBytes) {
		byte[] encoded = LogCodec.encodeSnapshot(snapshot).toArray();
		List<Bytes> chunks = new ArrayList<>();
		for (int offset = 0; offset < encoded.length; offset += chunkBytes) {
			int end = Math.min(encoded.length, offset + chunkBytes);
			chunks.add(Bytes.of(Arrays.copyOfRange(encoded, offset, end)));
		}
		return new ChunkedSnapshot(snapshot.position(), List.copyOf(chunks), chunkBytes);
	}

	LogPosition position() {
		return this.position;
	}

	// Returns the chunk at an offset, or the first one if the offset is past the end.
	SnapshotChunk chunkAt(long offset, long now) {
		int number = Math.toIntExact(offset / this.chunkBytes);
		int index = (number < this.chunks.size()) ? number : 0;
		return new SnapshotChunk(this.position, (long) index * this.chunkBytes, this.chunks.get(index),
				index == this.chunks.size() - 1, now);
	}

}
