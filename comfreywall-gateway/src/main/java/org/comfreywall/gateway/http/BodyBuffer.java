package org.comfreywall.gateway.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * A request body that is being read. One of announced length takes exactly that much; one
 * in chunks takes segments, which are copied once at its end.
 */
final class BodyBuffer {

	private static final int FIRST_SEGMENT_BYTES = 1 << 10;

	private static final int MAX_SEGMENT_BYTES = 64 << 10;

	private final int announced;

	private final List<byte[]> segments = new ArrayList<>();

	private int capacity;

	private int size;

	/** The bytes of the last segment that are used. */
	private int used;

	/**
	 * Creates an empty buffer.
	 * @param announced the announced length in bytes, or -1 if it is unknown
	 */
	BodyBuffer(int announced) {
		this.announced = announced;
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns the memory that further bytes of an unannounced length take.
	 * @param bytes the number of bytes
	 * @return the additional memory in bytes, 0 if the length was announced
	 */
	int growth(int bytes) {
		int missing = (this.announced >= 0) ? 0 : bytes - (this.capacity - this.size);
		int growth = 0;
		while (growth < missing) {
			growth += nextSegment(this.capacity + growth);
		}
		return growth;
	}

	private static int nextSegment(int capacity) {
		return Math.max(FIRST_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, capacity));
	}

	/**
	 * Appends bytes.
	 * @param bytes the bytes; read completely, not released
	 */
	void append(ByteBuf bytes) {
		while (bytes.isReadable()) {
			if (this.size == this.capacity) {
				int segment = (this.announced >= 0) ? this.announced : nextSegment(this.capacity);
				this.segments.add(new byte[segment]);
				this.capacity += segment;
				this.used = 0;
			}
			byte[] last = this.segments.get(this.segments.size() - 1);
			int part = Math.min(bytes.readableBytes(), last.length - this.used);
			bytes.readBytes(last, this.used, part);
			this.used += part;
			this.size += part;
		}
	}

	/**
	 * Returns the additional memory that {@link #join} takes.
	 * @return the memory in bytes, 0 if nothing is copied
	 */
	int joinBytes() {
		return isWhole() ? 0 : this.size;
	}

	private boolean isWhole() {
		return this.segments.size() == 1 && this.used == this.segments.get(0).length;
	}

	/**
	 * Returns the body.
	 * @return the bytes, not copied if the length was announced
	 */
	byte[] join() {
		if (isWhole()) {
			return this.segments.get(0);
		}
		byte[] all = new byte[this.size];
		int at = 0;
		for (byte[] segment : this.segments) {
			int part = Math.min(segment.length, this.size - at);
			System.arraycopy(segment, 0, all, at, part);
			at += part;
		}
		return all;
	}

}
