package org.comfreywall.daemon.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.generated.Frame;

/**
 * Frames of one answer that wait for credit of one entry.
 * <p>
 * Parts use up credit; other frames only keep their place behind the parts.
 */
final class Outbox {

	private static final int FULL_FRAMES = 64;

	private final PeerConnection connection;

	private final Deque<Frame> waiting = new ArrayDeque<>();

	private long credit;

	Outbox(PeerConnection connection, long credit) {
		this.connection = connection;
		this.credit = credit;
	}

	void add(Frame frame) {
		this.waiting.addLast(frame);
		flush();
	}

	void addCredit(long parts) {
		this.credit += parts;
		flush();
	}

	boolean isFull() {
		return this.waiting.size() >= FULL_FRAMES;
	}

	boolean isEmpty() {
		return this.waiting.isEmpty();
	}

	private void flush() {
		while (!this.waiting.isEmpty() && (this.credit > 0 || !this.waiting.peekFirst().hasPart())) {
			Frame frame = this.waiting.removeFirst();
			if (frame.hasPart()) {
				this.credit--;
			}
			this.connection.send(frame);
		}
	}

}
