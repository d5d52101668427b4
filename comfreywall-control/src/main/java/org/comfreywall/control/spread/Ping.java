package org.comfreywall.control.spread;

/**
 * Checks whether a node is reachable.
 *
 * @param nonce the nonce that the {@link Pong} returns
 */
public record Ping(long nonce) implements SpreadMessage {

}
