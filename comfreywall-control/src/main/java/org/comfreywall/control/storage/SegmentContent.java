package org.comfreywall.control.storage;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.comfreywall.common.util.Bytes;

/**
 * The frames read from a segment file.
 *
 * @param header the segment's header
 * @param frames the bodies of the valid frames up to the first invalid one
 * @param validBytes the length of the header and these frames
 * @param damaged whether a valid frame header follows an invalid frame, which a crash
 * cannot cause
 */
record SegmentContent(SegmentHeader header, List<Bytes> frames, int validBytes, boolean damaged) {

	long nextSequence() {
		return this.header.firstSequence() + this.frames.size();
	}

	static SegmentContent read(SegmentHeader header, byte[] content) {
		List<Bytes> frames = new ArrayList<>();
		int offset = Segment.HEADER_BYTES;
		while (isFrame(header, content, offset, header.firstSequence() + frames.size())) {
			int start = offset + Segment.FRAME_HEADER_BYTES;
			int end = start + ByteBuffer.wrap(content).getInt(offset);
			frames.add(Bytes.of(Arrays.copyOfRange(content, start, end)));
			offset = end;
		}
		boolean damaged = laterFrameExists(header, content, offset + 1, header.firstSequence() + frames.size());
		return new SegmentContent(header, frames, offset, damaged);
	}

	/**
	 * Searches for the header of a frame written after the invalid one. Because a frame
	 * is written only after the previous one is synced, such a header proves that the
	 * invalid frame was synced and later damaged.
	 */
	private static boolean laterFrameExists(SegmentHeader header, byte[] content, int from, long invalid) {
		for (int offset = from; offset + Segment.FRAME_HEADER_BYTES <= content.length; offset++) {
			if (sequenceAt(content, offset) > invalid && isHeader(header, content, offset)) {
				return true;
			}
		}
		return false;
	}

	private static boolean isFrame(SegmentHeader header, byte[] content, int offset, long sequence) {
		if (offset + Segment.FRAME_HEADER_BYTES > content.length || sequenceAt(content, offset) != sequence
				|| !isHeader(header, content, offset)) {
			return false;
		}
		int length = ByteBuffer.wrap(content).getInt(offset);
		int start = offset + Segment.FRAME_HEADER_BYTES;
		int bodyCrc = ByteBuffer.wrap(content).getInt(offset + Integer.BYTES + Long.BYTES);
		return length >= 0 && length <= content.length - start && bodyCrc == Segment.crc(content, start, length);
	}

	private static long sequenceAt(byte[] content, int offset) {
		return ByteBuffer.wrap(content).getLong(offset + Integer.BYTES);
	}

	private static boolean isHeader(SegmentHeader header, byte[] content, int offset) {
		int stored = ByteBuffer.wrap(content).getInt(offset + Segment.FRAME_HEADER_BYTES - Integer.BYTES);
		return stored == Segment.headerCrc(header.salt(), content, offset);
	}

}
