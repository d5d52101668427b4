package org.comfreywall.sidecar.attempt;

/**
 * All runs ended and all answers were sent; the process may stop.
 */
public record FinishDrain() implements AttemptCommand {

}
