package org.comfreywall.entry.request;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.comfreywall.common.attempt.AnswerChunk;
import org.comfreywall.common.attempt.AnswerHead;
import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.util.Bytes;

/**
 * Assembles the parts of an answer to be recorded with its claim. An answer larger than
 * the bound is discarded and not recorded.
 */
final class AnswerCollector {

	private final int maxBytes;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private Optional<AnswerHead> head = Optional.empty();

	private boolean tooLarge;

	AnswerCollector(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	void add(AnswerPart part) {
		if (part instanceof AnswerHead first) {
			this.head = Optional.of(first);
		}
		else if (part instanceof AnswerChunk chunk) {
			append(chunk.payload());
		}
	}

	Optional<RecordedAnswer> answer() {
		if (this.tooLarge) {
			return Optional.empty();
		}
		return this.head
			.map((first) -> new RecordedAnswer(first.status(), first.contentType(), Bytes.of(this.body.toByteArray())));
	}

	private void append(Bytes payload) {
		this.tooLarge |= this.body.size() + payload.length() > this.maxBytes;
		if (this.tooLarge) {
			this.body.reset();
		}
		else {
			this.body.writeBytes(payload.toArray());
		}
	}

}
