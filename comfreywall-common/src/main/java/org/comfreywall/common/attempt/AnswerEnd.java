package org.comfreywall.common.attempt;

/**
 * The last part of a complete answer.
 */
public record AnswerEnd() implements AnswerPart {

	@Override
	public int size() {
		return 0;
	}

}
