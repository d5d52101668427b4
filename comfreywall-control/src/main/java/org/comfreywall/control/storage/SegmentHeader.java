package org.comfreywall.control.storage;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * The header of a segment file.
 *
 * @param salt a random number included in the checksums of the frame headers
 * @param firstSequence the sequence number of the first frame
 * @param startsLog whether the first frame replaces everything in earlier segments
 */
record SegmentHeader(long salt, long firstSequence, boolean startsLog) {

	byte[] encode() {
		ByteBuffer buffer = ByteBuffer.allocate(Segment.HEADER_BYTES);
		buffer.putLong(Segment.MAGIC).putLong(this.salt).putLong(this.firstSequence);
		buffer.put((byte) (this.startsLog ? 1 : 0));
		buffer.putInt(Segment.crc(buffer.array(), 0, buffer.position()));
		return buffer.array();
	}

	static Optional<SegmentHeader> decode(byte[] content) {
		if (content.length < Segment.HEADER_BYTES) {
			return Optional.empty();
		}
		int checked = Segment.HEADER_BYTES - Integer.BYTES;
		ByteBuffer buffer = ByteBuffer.wrap(content);
		if (buffer.getLong(0) != Segment.MAGIC || buffer.getInt(checked) != Segment.crc(content, 0, checked)) {
			return Optional.empty();
		}
		return Optional.of(new SegmentHeader(buffer.getLong(Long.BYTES), buffer.getLong(2 * Long.BYTES),
				content[checked - 1] == 1));
	}

}
