package org.comfreywall.entry.request;

import org.comfreywall.common.attempt.AnswerPart;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Passes a part of the answer to the caller.
 *
 * @param request the request
 * @param part the part
 */
public record DeliverPart(RequestId request, AnswerPart part) implements RequestCommand {

	public DeliverPart {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(part, "part");
	}

}
