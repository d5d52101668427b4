package org.comfreywall.entry.limit;

/**
 * The entry holds no share yet and has asked for one; offer the request again when a
 * grant has arrived, and for the last time at the given time.
 *
 * @param until when to stop waiting, in nanoseconds on the entry's clock
 */
public record LimitPending(long until) implements LimitDecision {

}
