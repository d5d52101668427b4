package org.comfreywall.control.spread;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * The response to a {@link Ping}.
 *
 * @param nonce the nonce of the ping
 * @param incarnation the sender's incarnation
 */
public record Pong(long nonce, Incarnation incarnation) implements RelayTreeMessage {

	public Pong {
		Preconditions.notNull(incarnation, "incarnation");
	}

}
