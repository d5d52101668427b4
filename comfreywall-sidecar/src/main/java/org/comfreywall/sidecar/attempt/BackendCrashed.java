package org.comfreywall.sidecar.attempt;

/**
 * The backend server crashed, which ended all runs.
 */
public record BackendCrashed() implements AttemptEvent {

}
