package org.comfreywall.entry.admit;

/**
 * The request was queued; a command starts or sheds it by the given time.
 *
 * @param expiresAt the time at which it is shed unless it was started, in nanoseconds on
 * the entry's clock
 */
public record Queued(long expiresAt) implements AdmissionDecision {

}
