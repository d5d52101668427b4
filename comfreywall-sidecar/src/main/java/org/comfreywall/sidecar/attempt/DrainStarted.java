package org.comfreywall.sidecar.attempt;

/**
 * The sidecar was requested to drain its backend server.
 */
public record DrainStarted() implements AttemptEvent {

}
