package org.comfreywall.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.OptionalLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.comfreywall.common.stream.EventBoundary;

/**
 * Splits an event stream into whole events, so that another backend server can resume it
 * after the last one, and filters duplicates by event identifier.
 */
final class EventFramer {

	/** A longer event is forwarded in parts; the stream can then not be resumed. */
	private static final int MAX_EVENT_BYTES = 256 << 10;

	private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

	private byte[] remainder = new byte[0];

	private long lastId = Long.MIN_VALUE;

	private boolean splitEvent;

	/** The number of events with an identifier that each followed the one before by 1. */
	private int counted;

	private boolean countsUp = true;

	private boolean resumed;

	private boolean eventSkipped;

	/**
	 * Appends bytes of the stream and returns the whole events that the caller does not
	 * have yet.
	 * @param bytes the next bytes; read completely, not released
	 * @return the new whole events, may be empty
	 */
	ByteBuf feed(ByteBuf bytes) {
		byte[] all = append(bytes);
		ByteBuf whole = Unpooled.buffer(all.length);
		int start = 0;
		int end = endOfEvent(all, start);
		while (end > 0) {
			addIfNew(whole, all, start, end);
			start = end;
			end = endOfEvent(all, start);
		}
		this.remainder = Arrays.copyOfRange(all, start, all.length);
		if (this.remainder.length > MAX_EVENT_BYTES) {
			this.splitEvent = true;
			whole.writeBytes(this.remainder);
			this.remainder = new byte[0];
		}
		return whole;
	}

	/**
	 * Returns the bytes after the last whole event.
	 * @return the bytes, may be empty
	 */
	byte[] remainder() {
		return this.remainder;
	}

	/**
	 * Returns whether a part of an event has arrived that is not whole yet.
	 * @return {@code false} after an event, and within a comment that belongs to none
	 */
	boolean isWithinEvent() {
		EventBoundary boundary = new EventBoundary();
		for (byte next : this.remainder) {
			boundary.accept(next);
		}
		return boundary.isWithinEvent();
	}

	/**
	 * Discards a partial event, before another server resumes the stream.
	 */
	void discardPartialEvent() {
		this.remainder = new byte[0];
		this.resumed = true;
		this.eventSkipped = false;
	}

	/**
	 * Returns whether the server that resumed the stream left out events. This can be
	 * told only if the identifiers have counted up by 1 until then.
	 * @return {@code true} from the first event on that is not the next one
	 */
	boolean isEventSkipped() {
		return this.eventSkipped;
	}

	/**
	 * Returns the identifier of the last event that was forwarded.
	 * @return the identifier, or empty if no event had one
	 */
	OptionalLong lastId() {
		return (this.lastId != Long.MIN_VALUE) ? OptionalLong.of(this.lastId) : OptionalLong.empty();
	}

	/**
	 * Returns whether another server can resume the stream after the last forwarded
	 * event.
	 * @return {@code false} once part of an event was forwarded
	 */
	boolean isResumable() {
		return !this.splitEvent;
	}

	/**
	 * Sets the event after which the stream starts; events up to it are filtered.
	 * @param id the identifier of the last event that the caller has received
	 */
	void startAfter(long id) {
		this.lastId = id;
	}

	private byte[] append(ByteBuf bytes) {
		byte[] all = Arrays.copyOf(this.remainder, this.remainder.length + bytes.readableBytes());
		bytes.readBytes(all, this.remainder.length, bytes.readableBytes());
		return all;
	}

	private void addIfNew(ByteBuf whole, byte[] all, int start, int end) {
		OptionalLong id = idOf(all, start, end);
		if (this.eventSkipped || (id.isPresent() && id.getAsLong() <= this.lastId)) {
			return;
		}
		id.ifPresent(this::follow);
		if (!this.eventSkipped) {
			whole.writeBytes(all, start, end - start);
		}
	}

	private void follow(long id) {
		boolean next = this.counted == 0 || id == this.lastId + 1;
		if (this.resumed && this.countsUp && this.counted > 1 && !next) {
			this.eventSkipped = true;
			return;
		}
		this.resumed = false;
		this.countsUp = this.countsUp && next;
		this.counted++;
		this.lastId = id;
	}

	// Returns the position after the blank line that ends the event, or -1.
	private static int endOfEvent(byte[] all, int start) {
		for (int i = start; i + 1 < all.length; i++) {
			if (all[i] != '\n') {
				continue;
			}
			if (all[i + 1] == '\n') {
				return i + 2;
			}
			if (all[i + 1] == '\r' && i + 2 < all.length && all[i + 2] == '\n') {
				return i + 3;
			}
		}
		return -1;
	}

	private static OptionalLong idOf(byte[] all, int start, int end) {
		int line = start;
		while (line < end) {
			int next = line;
			while (next < end && all[next] != '\n') {
				next++;
			}
			if (startsWithId(all, line, next)) {
				return parse(new String(all, line + ID.length, next - line - ID.length, StandardCharsets.US_ASCII));
			}
			line = next + 1;
		}
		return OptionalLong.empty();
	}

	private static boolean startsWithId(byte[] all, int line, int next) {
		return next - line >= ID.length && all[line] == ID[0] && all[line + 1] == ID[1] && all[line + 2] == ID[2];
	}

	private static OptionalLong parse(String text) {
		try {
			return OptionalLong.of(Long.parseLong(text.trim()));
		}
		catch (NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

}
