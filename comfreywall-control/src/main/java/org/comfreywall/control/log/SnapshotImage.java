package org.comfreywall.control.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.comfreywall.common.util.Bytes;

/**
 * An encoded snapshot cut into parts.
 */
final class SnapshotImage {

	private final LogPosition position;

	private final List<Bytes> parts;

	private final int partBytes;

	private SnapshotImage(LogPosition position, List<Bytes> parts, int partBytes) {
		this.position = position;
		this.parts = parts;
		this.partBytes = partBytes;
	}

	static SnapshotImage of(Snapshot snapshot, int partBytes) {
		byte[] encoded = LogCodec.encodeSnapshot(snapshot).toArray();
		List<Bytes> parts = new ArrayList<>();
		for (int offset = 0; offset < encoded.length; offset += partBytes) {
			int end = Math.min(encoded.length, offset + partBytes);
			parts.add(Bytes.of(Arrays.copyOfRange(encoded, offset, end)));
		}
		return new SnapshotImage(snapshot.position(), List.copyOf(parts), partBytes);
	}

	LogPosition position() {
		return this.position;
	}

	SnapshotChunk chunkAt(long offset, long now) {
		int part = Math.toIntExact(offset / this.partBytes);
		int index = (part < this.parts.size()) ? part : 0;
		return new SnapshotChunk(this.position, (long) index * this.partBytes, this.parts.get(index),
				index == this.parts.size() - 1, now);
	}

}
