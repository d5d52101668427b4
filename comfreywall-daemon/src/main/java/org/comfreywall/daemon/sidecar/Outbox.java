package org.comfreywall.daemon.sidecar;

import java.util.ArrayDeque;
import java.util.Deque;

import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.generated.Frame;

/**
 * Queue of the frames of one answer to one entry, with credit-based flow control.
 * <p>
 * Each answer part consumes one credit. Other frames consume none, but are not sent
 * before the parts queued ahead of them.
 */
final class Outbox {

	private static final int FULL_FRAMES = 64;

	private final PeerConnection connection;

	private final Deque<Frame> queue = new ArrayDeque<>();

	private long credit;

	Outbox(PeerConnection connection, long credit) {
		this.connection = connection;
		this.credit = credit;
	}

	void add(Frame frame) {
		this.queue.addLast(frame);
		flush();
	}

	void addCredit(long parts) {
		this.credit += parts;
		flush();
	}

	boolean isFull() {
		return this.queue.size() >= FULL_FRAMES;
	}

	boolean isEmpty() {
		return this.queue.isEmpty();
	}

	private void flush() {
		while (!this.queue.isEmpty() && (this.credit > 0 || !this.queue.peekFirst().hasPart())) {
			Frame frame = this.queue.removeFirst();
			if (frame.hasPart()) {
				this.credit--;
			}
			this.connection.send(frame);
		}
	}

}
