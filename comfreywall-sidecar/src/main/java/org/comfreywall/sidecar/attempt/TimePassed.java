package org.comfreywall.sidecar.attempt;

/**
 * Clock tick; sent at least once per window.
 */
public record TimePassed() implements AttemptEvent {

}
