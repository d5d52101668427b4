package org.comfreywall.common.stream;

import java.util.Locale;

/**
 * Tracks whether an event stream is at the end of an event. A stream that ends anywhere
 * else was broken off, even if its connection was closed in the normal way.
 * <p>
 * Lines end with LF, CR or CRLF; an empty line ends an event, and lines that begin with a
 * colon are comments, which belong to no event (HTML Living Standard, server-sent
 * events). Not thread-safe.
 */
public final class EventBoundary {

	private static final String MEDIA_TYPE = "text/event-stream";

	/** Begins the head of a response; no field of an event does. */
	private static final String PROTOCOL = "HTTP/1.";

	private boolean lineEmpty = true;

	private boolean comment;

	private boolean afterCarriageReturn;

	private boolean eventOpen;

	/** Characters of {@link #PROTOCOL} at the start of the event, or -1. */
	private int matched;

	private boolean followedByResponse;

	private boolean empty = true;

	private boolean endsLinesWithCrLf;

	/**
	 * Returns whether a response is an event stream.
	 * @param contentType the content type of the response, may be empty or have
	 * parameters
	 * @return {@code true} for {@code text/event-stream}
	 */
	public static boolean isEventStream(String contentType) {
		String type = contentType.split(";", 2)[0].trim();
		return type.toLowerCase(Locale.ROOT).equals(MEDIA_TYPE);
	}

	/**
	 * Reads the next byte of the stream.
	 * @param next the byte
	 */
	public void accept(byte next) {
		boolean secondOfCrLf = next == '\n' && this.afterCarriageReturn;
		this.afterCarriageReturn = next == '\r';
		if (secondOfCrLf) {
			this.endsLinesWithCrLf = true;
			return;
		}
		if (next == '\n' || next == '\r') {
			endLine();
			return;
		}
		if (this.lineEmpty) {
			this.lineEmpty = false;
			this.comment = next == ':';
		}
		this.eventOpen = this.eventOpen || !this.comment;
		matchProtocol(next);
	}

	private void matchProtocol(byte next) {
		if (this.matched >= 0 && this.matched < PROTOCOL.length()) {
			this.matched = (PROTOCOL.charAt(this.matched) == next) ? this.matched + 1 : -1;
			this.followedByResponse = this.followedByResponse || this.matched == PROTOCOL.length();
		}
	}

	private void endLine() {
		if (this.lineEmpty) {
			this.empty = this.empty && !this.eventOpen;
			this.eventOpen = false;
		}
		this.matched = this.eventOpen ? -1 : 0;
		this.lineEmpty = true;
		this.comment = false;
	}

	/**
	 * Returns whether a part of an event was read, but not its end.
	 * @return {@code false} after an event, and within a comment that belongs to none
	 */
	public boolean isWithinEvent() {
		return this.eventOpen;
	}

	/**
	 * Returns whether the head of a response came where an event should begin. The server
	 * has sent another response in the place of the end of the stream.
	 * @return {@code true} once the start of a status line was read
	 */
	public boolean isFollowedByResponse() {
		return this.followedByResponse;
	}

	/**
	 * Returns whether the stream was broken off if it ends here.
	 * @param mayBeEmpty whether a stream without any event is complete
	 * @return {@code true} within an event, a comment line or a line end, before the end
	 * of the first event of a stream that must not be empty, and if another response
	 * followed
	 */
	public boolean isBrokenOff(boolean mayBeEmpty) {
		boolean withinLineEnd = this.endsLinesWithCrLf && this.afterCarriageReturn;
		return this.followedByResponse || this.eventOpen || !this.lineEmpty || withinLineEnd
				|| (this.empty && !mayBeEmpty);
	}

}
