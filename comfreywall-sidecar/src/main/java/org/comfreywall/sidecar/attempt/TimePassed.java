package org.comfreywall.sidecar.attempt;

/**
 * Clock tick; cancels attempts that have had no connection for too long. Sent at least
 * once per {@link AttemptRegistrySettings#window()}.
 */
public record TimePassed() implements AttemptEvent {

}
