package org.comfreywall.sidecar.attempt;

/**
 * The backend server crashed, which ended all running attempts.
 */
public record BackendCrashed() implements AttemptEvent {

}
