package org.comfreywall.control.spread;

import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.util.Preconditions;

/**
 * Answers a ping.
 *
 * @param nonce the ping's number
 * @param incarnation the sender's incarnation
 */
public record Pong(long nonce, Incarnation incarnation) implements SpreadMessage {

	public Pong {
		Preconditions.notNull(incarnation, "incarnation");
	}

}
