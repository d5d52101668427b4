package org.comfreywall.common.id;

import org.comfreywall.common.util.Preconditions;

/**
 * Identifies an attempt to run a request on a backend server.
 *
 * @param request the request
 * @param number the attempt's number within the request, starting at 1
 */
public record AttemptId(RequestId request, int number) {

	public AttemptId {
		Preconditions.notNull(request, "request");
		Preconditions.check(number >= 1, "number must be at least 1: %d", number);
	}

	@Override
	public String toString() {
		return this.request + "/" + this.number;
	}

}
