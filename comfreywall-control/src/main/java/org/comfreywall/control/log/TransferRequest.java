package org.comfreywall.control.log;

/**
 * Asks the receiver to stand for election at once; the sender has stopped leading.
 */
public record TransferRequest() implements PeerBody {

}
