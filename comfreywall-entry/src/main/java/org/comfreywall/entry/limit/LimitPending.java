package org.comfreywall.entry.limit;

/**
 * No share is available yet, and the next lease request covers the request. The caller
 * offers the request again when a grant has arrived, and for the last time at the given
 * time.
 *
 * @param until when to stop waiting, in nanoseconds on the entry's clock
 */
public record LimitPending(long until) implements LimitDecision {

}
