package org.comfreywall.common.attempt;

/**
 * The last part of a whole answer.
 */
public record AnswerEnd() implements AnswerPart {

	@Override
	public int size() {
		return 0;
	}

}
