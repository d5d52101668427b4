package org.comfreywall.common.attempt;

import org.comfreywall.common.util.Preconditions;

/**
 * The first part of an answer, with its status and media type.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 */
public record AnswerHead(int status, String contentType) implements AnswerPart {

	public AnswerHead {
		Preconditions.notNull(contentType, "contentType");
		Preconditions.check(status >= 100 && status <= 599, "status must be 100 to 599: %d", status);
	}

	@Override
	public int size() {
		return 0;
	}

}
