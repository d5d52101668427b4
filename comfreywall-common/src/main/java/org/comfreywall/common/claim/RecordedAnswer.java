package org.comfreywall.common.claim;

import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.Preconditions;

/**
 * The answer of a completed request, which is replayed if the caller repeats the request.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the complete body
 */
public record RecordedAnswer(int status, String contentType, Bytes body) {

	public RecordedAnswer {
		Preconditions.check(status >= 100 && status <= 599, "status must be 100 to 599: %d", status);
		Preconditions.notNull(contentType, "contentType");
		Preconditions.notNull(body, "body");
	}

}
