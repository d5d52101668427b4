package org.comfreywall.common.attempt;

/**
 * A part of a streamed answer, which consists of one head, any number of chunks and one
 * end.
 */
public sealed interface AnswerPart permits AnswerHead, AnswerChunk, AnswerEnd {

	/**
	 * Returns the size of the part's payload.
	 * @return the size in bytes
	 */
	int size();

}
