package org.comfreywall.sidecar.attempt;

/**
 * The backend server is to leave.
 */
public record DrainStarted() implements AttemptEvent {

}
