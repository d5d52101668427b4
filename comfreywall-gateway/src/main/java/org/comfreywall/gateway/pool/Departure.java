package org.comfreywall.gateway.pool;

import org.comfreywall.common.util.Preconditions;

/**
 * A backend server's announcement that it leaves, which holds for the incarnation that
 * made it and for all before.
 *
 * @param server the server's identifier
 * @param startedMillis the start of the incarnation, in milliseconds of the server's
 * clock
 */
public record Departure(String server, long startedMillis) {

	public Departure {
		Preconditions.notBlank(server, "server");
	}

}
