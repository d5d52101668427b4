package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.util.Preconditions;

/**
 * Promise that the attempts of a request never ran and never will.
 *
 * @param link the connection of the receiver
 * @param request the request
 * @param incarnation the incarnation of this sidecar
 */
public record SendSealed(EntryLink link, RequestId request, Incarnation incarnation) implements AttemptCommand {

	public SendSealed {
		Preconditions.notNull(link, "link");
		Preconditions.notNull(request, "request");
		Preconditions.notNull(incarnation, "incarnation");
	}

}
