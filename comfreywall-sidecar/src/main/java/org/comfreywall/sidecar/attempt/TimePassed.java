package org.comfreywall.sidecar.attempt;

/**
 * Clock tick; cancels attempts of idempotent requests that have had no connection for the
 * orphan time. Sent at least once per {@link AttemptRegistrySettings#window()}.
 */
public record TimePassed() implements AttemptEvent {

}
