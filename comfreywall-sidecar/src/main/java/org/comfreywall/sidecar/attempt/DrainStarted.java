package org.comfreywall.sidecar.attempt;

/**
 * The sidecar was ordered to drain its backend server.
 */
public record DrainStarted() implements AttemptEvent {

}
