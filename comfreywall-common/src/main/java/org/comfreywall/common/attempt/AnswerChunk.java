package org.comfreywall.common.attempt;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * A chunk of an answer's body, such as one generated token.
 *
 * @param payload the bytes
 */
public record AnswerChunk(Bytes payload) implements AnswerPart {

	public AnswerChunk {
		Preconditions.notNull(payload, "payload");
	}

	@Override
	public int size() {
		return this.payload.length();
	}

}
