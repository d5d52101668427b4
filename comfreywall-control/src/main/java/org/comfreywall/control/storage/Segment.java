package org.comfreywall.control.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32C;

/**
 * A segment file that is open for appending frames.
 */
final class Segment implements AutoCloseable {

	static final String PREFIX = "log-";

	/** Magic number, salt, first sequence number, start flag and checksum. */
	static final int HEADER_BYTES = 29;

	/** Body length, sequence number, checksum of the body, checksum of the header. */
	static final int FRAME_HEADER_BYTES = 20;

	static final long MAGIC = 0x43465257414c4c31L;

	private final Path file;

	private final FileChannel channel;

	private final long salt;

	private long bytes;

	private long syncedBytes;

	private Segment(Path file, FileChannel channel, long salt) {
		this.file = file;
		this.channel = channel;
		this.salt = salt;
		this.bytes = HEADER_BYTES;
		this.syncedBytes = HEADER_BYTES;
	}

	static String name(long firstSequence) {
		return String.format("%s%020d", PREFIX, firstSequence);
	}

	// Creates a file with a synced header. The salt in the checksums keeps bytes of a
	// command from being mistaken for a frame header.
	static Segment create(Path file, SegmentHeader header, FileSync fileSync) throws IOException {
		FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
		try {
			writeFully(channel, header.encode());
			fileSync.sync(channel);
			return new Segment(file, channel, header.salt());
		}
		catch (IOException ex) {
			channel.close();
			throw ex;
		}
	}

	long bytes() {
		return this.bytes;
	}

	void append(long sequence, byte[] body) throws IOException {
		ByteBuffer frame = ByteBuffer.allocate(FRAME_HEADER_BYTES + body.length);
		frame.putInt(body.length).putLong(sequence).putInt(crc(body, 0, body.length));
		frame.putInt(headerCrc(this.salt, frame.array(), 0)).put(body);
		writeFully(this.channel, frame.array());
		this.bytes += frame.capacity();
	}

	void sync(FileSync fileSync) throws IOException {
		fileSync.sync(this.channel);
		this.syncedBytes = this.bytes;
	}

	// Removes all frames after the last one that was synced, also once this segment is
	// closed.
	void truncateToSynced(FileSync fileSync) throws IOException {
		try (FileChannel opened = FileChannel.open(this.file, StandardOpenOption.WRITE)) {
			opened.truncate(this.syncedBytes);
			fileSync.sync(opened);
		}
	}

	@Override
	public void close() throws IOException {
		this.channel.close();
	}

	static int headerCrc(long salt, byte[] content, int offset) {
		CRC32C crc = new CRC32C();
		crc.update(ByteBuffer.allocate(Long.BYTES).putLong(0, salt));
		crc.update(content, offset, FRAME_HEADER_BYTES - Integer.BYTES);
		return (int) crc.getValue();
	}

	static int crc(byte[] content, int offset, int length) {
		CRC32C crc = new CRC32C();
		crc.update(content, offset, length);
		return (int) crc.getValue();
	}

	static void writeFully(FileChannel channel, byte[] content) throws IOException {
		ByteBuffer buffer = ByteBuffer.wrap(content);
		while (buffer.hasRemaining()) {
			channel.write(buffer);
		}
	}

}
