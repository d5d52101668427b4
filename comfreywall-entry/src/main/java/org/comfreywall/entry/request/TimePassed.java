package org.comfreywall.entry.request;

/**
 * Advances the clock. The driver sends it at {@link RequestTracker#nextTimer()}.
 */
public record TimePassed() implements RequestEvent {

}
