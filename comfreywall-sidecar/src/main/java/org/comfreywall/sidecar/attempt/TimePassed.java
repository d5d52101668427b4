package org.comfreywall.sidecar.attempt;

/**
 * Time passed; sent at least once in each window.
 */
public record TimePassed() implements AttemptEvent {

}
