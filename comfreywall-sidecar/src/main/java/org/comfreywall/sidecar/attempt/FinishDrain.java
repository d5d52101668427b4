package org.comfreywall.sidecar.attempt;

/**
 * Reports that the drain is complete: no attempt runs, and every answer was sent or its
 * entry did not reconnect in time. The process may stop.
 */
public record FinishDrain() implements AttemptCommand {

}
