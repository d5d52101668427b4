package org.comfreywall.daemon.sidecar;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.transport.generated.Answer;

/**
 * Holds the messages of one answer until the entry has taken them, so that a stream can
 * resume on another connection without a gap or a repeat.
 */
final class AnswerBuffer {

	private static final int PAUSE_MESSAGES = 64;

	private final List<Answer> kept = new ArrayList<>();

	private long firstKept;

	private long nextToSend;

	private long sendLimit;

	void add(Answer.Builder message) {
		this.kept.add(message.setSequence(nextNew()).build());
	}

	void addCredit(int messages, long nextSequence) {
		this.sendLimit += messages;
		dropBefore(Math.min(this.nextToSend, nextSequence));
	}

	boolean resumeAt(long sequence, int credit) {
		if (sequence < this.firstKept || sequence > nextNew()) {
			return false;
		}
		dropBefore(sequence);
		this.nextToSend = sequence;
		this.sendLimit = sequence + credit;
		return true;
	}

	Optional<Answer> poll() {
		if (this.nextToSend >= nextNew() || this.nextToSend >= this.sendLimit) {
			return Optional.empty();
		}
		Answer message = this.kept.get((int) (this.nextToSend - this.firstKept));
		this.nextToSend++;
		return Optional.of(message);
	}

	boolean isFull() {
		return nextNew() - this.nextToSend >= PAUSE_MESSAGES;
	}

	boolean isEmpty() {
		return nextNew() == 0;
	}

	private long nextNew() {
		return this.firstKept + this.kept.size();
	}

	private void dropBefore(long sequence) {
		int count = (int) (sequence - this.firstKept);
		if (count > 0) {
			this.kept.subList(0, count).clear();
			this.firstKept = sequence;
		}
	}

}
