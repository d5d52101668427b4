package org.comfreywall.common.attempt;

/**
 * One part of an answer; an answer is one head, any number of chunks and one end.
 */
public sealed interface AnswerPart permits AnswerHead, AnswerChunk, AnswerEnd {

	/**
	 * Returns the size of the part's payload.
	 * @return the size in bytes
	 */
	int size();

}
