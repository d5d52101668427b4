package org.comfreywall.daemon.sidecar;

import java.util.Optional;

import com.google.protobuf.ByteString;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Outcome;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.transport.PeerConnection;
import org.comfreywall.transport.WireErrors;
import org.comfreywall.transport.generated.Answer;
import org.comfreywall.transport.generated.AnswerEnd;
import org.comfreywall.transport.generated.AnswerHead;
import org.comfreywall.transport.generated.AttemptRef;
import org.comfreywall.transport.generated.Frame;

/**
 * One attempt at the sidecar; used on the sidecar's worker only.
 */
final class SidecarAttempt {

	private final AttemptRef ref;

	private final AnswerBuffer buffer = new AnswerBuffer();

	private PeerConnection connection;

	private BackendCall call;

	private boolean paused;

	private Outcome outcome;

	SidecarAttempt(AttemptRef ref, PeerConnection connection, int credit) {
		this.ref = ref;
		this.connection = connection;
		this.buffer.addCredit(credit, 0);
	}

	AttemptRef ref() {
		return this.ref;
	}

	Optional<Outcome> outcome() {
		return Optional.ofNullable(this.outcome);
	}

	void running(BackendCall started) {
		this.call = started;
	}

	void head(int status, String contentType) {
		add(Answer.newBuilder().setHead(AnswerHead.newBuilder().setStatus(status).setContentType(contentType)));
	}

	void chunk(Bytes data) {
		add(Answer.newBuilder().setChunk(ByteString.copyFrom(data.toArray())));
	}

	void complete() {
		end(Outcome.COMPLETED, AnswerEnd.newBuilder());
	}

	void fail(Outcome failed, OperationError error) {
		end(failed, AnswerEnd.newBuilder().setError(WireErrors.encode(error)));
	}

	void credit(int messages, long nextSequence) {
		this.buffer.addCredit(messages, nextSequence);
		flush();
	}

	boolean resume(PeerConnection replacement, long nextSequence, int credit) {
		if (!this.buffer.resumeAt(nextSequence, credit)) {
			return false;
		}
		this.connection = replacement;
		flush();
		return true;
	}

	void cancel() {
		if (this.call != null) {
			this.call.cancel();
		}
	}

	private void end(Outcome last, AnswerEnd.Builder end) {
		if (this.outcome == null) {
			this.outcome = last;
			add(Answer.newBuilder().setEnd(end.setOutcome(last.name())));
		}
	}

	private void add(Answer.Builder message) {
		this.buffer.add(message.setAttempt(this.ref));
		flush();
	}

	private void flush() {
		Optional<Answer> next = this.buffer.poll();
		while (next.isPresent()) {
			this.connection.send(Frame.newBuilder().setAnswer(next.get()).build());
			next = this.buffer.poll();
		}
		regulate();
	}

	private void regulate() {
		if (this.call == null || this.buffer.isFull() == this.paused) {
			return;
		}
		this.paused = !this.paused;
		if (this.paused) {
			this.call.pause();
		}
		else {
			this.call.resume();
		}
	}

}
