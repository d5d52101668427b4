package org.comfreywall.bench.request;

import java.util.Optional;
import java.util.function.Consumer;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerEnd;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.Outcome;

/**
 * One submission of an operation to an entry, as observed by the caller. A caller may
 * submit the same operation several times, each time under a new request identifier.
 */
final class Submission {

	private final RequestId id;

	private final Operation operation;

	private final Consumer<Submission> listener;

	private final StringBuilder receivedText = new StringBuilder();

	private Optional<Outcome> outcome = Optional.empty();

	private boolean connectionLost;

	Submission(RequestId id, Operation operation, Consumer<Submission> listener) {
		this.id = id;
		this.operation = operation;
		this.listener = listener;
	}

	RequestId id() {
		return this.id;
	}

	Operation operation() {
		return this.operation;
	}

	void receivePart(AnswerPart part) {
		if (part instanceof AnswerHead) {
			this.receivedText.append("<");
		}
		else if (part instanceof AnswerChunk chunk) {
			this.receivedText.append(chunk.payload().toText());
		}
		else if (part instanceof AnswerEnd) {
			this.receivedText.append(">");
		}
	}

	void complete(Outcome reported) {
		this.outcome = Optional.of(reported);
		this.listener.accept(this);
	}

	void loseConnection() {
		this.connectionLost = true;
		this.listener.accept(this);
	}

	boolean isConnectionLost() {
		return this.connectionLost;
	}

	Optional<Outcome> outcome() {
		return this.outcome;
	}

	String receivedText() {
		return this.receivedText.toString();
	}

	boolean isAnswerComplete() {
		return receivedText().equals("<" + String.join("", this.operation.answerChunks()) + ">");
	}

	boolean isAnswerPrefix() {
		return ("<" + String.join("", this.operation.answerChunks()) + ">").startsWith(receivedText());
	}

}
