package org.comfreywall.control.log;

/**
 * Requests that the receiver starts an election immediately; the sender has stepped down
 * as leader.
 */
public record TransferRequest() implements PeerBody {

}
