package org.comfreywall.control.spread;

/**
 * A message that checks whether a node is reachable.
 *
 * @param nonce the nonce that the {@link Pong} must carry
 */
public record Ping(long nonce) implements RelayTreeMessage {

}
