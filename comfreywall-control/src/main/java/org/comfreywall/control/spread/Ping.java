package org.comfreywall.control.spread;

/**
 * Asks a node whether it lives.
 *
 * @param nonce a number to be returned
 */
public record Ping(long nonce) implements SpreadMessage {

}
