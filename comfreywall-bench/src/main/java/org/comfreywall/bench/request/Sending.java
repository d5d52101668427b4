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
final class Sending {

	private final RequestId id;

	private final Operation operation;

	private final Consumer<Sending> listener;

	private final StringBuilder received = new StringBuilder();

	private Optional<Outcome> outcome = Optional.empty();

	private boolean abandoned;

	Sending(RequestId id, Operation operation, Consumer<Sending> listener) {
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

	void part(AnswerPart part) {
		if (part instanceof AnswerHead) {
			this.received.append("<");
		}
		else if (part instanceof AnswerChunk chunk) {
			this.received.append(chunk.payload().toText());
		}
		else if (part instanceof AnswerEnd) {
			this.received.append(">");
		}
	}

	void complete(Outcome reported) {
		this.outcome = Optional.of(reported);
		this.listener.accept(this);
	}

	void abandon() {
		this.abandoned = true;
		this.listener.accept(this);
	}

	boolean isAbandoned() {
		return this.abandoned;
	}

	Optional<Outcome> outcome() {
		return this.outcome;
	}

	String received() {
		return this.received.toString();
	}

	boolean isWhole() {
		return received().equals("<" + String.join("", this.operation.answer()) + ">");
	}

	boolean isPrefix() {
		return ("<" + String.join("", this.operation.answer()) + ">").startsWith(received());
	}

}
