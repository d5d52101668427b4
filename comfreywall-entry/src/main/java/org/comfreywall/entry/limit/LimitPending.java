package org.comfreywall.entry.limit;

/**
 * No share is available yet; the next lease request includes the demand of this request.
 * The caller offers the request again when a grant has arrived, and for the last time at
 * the given time.
 *
 * @param waitUntil when to stop waiting, in nanoseconds on the entry's clock
 */
public record LimitPending(long waitUntil) implements LimitDecision {

}
