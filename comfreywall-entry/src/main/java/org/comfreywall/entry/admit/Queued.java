package org.comfreywall.entry.admit;

/**
 * The request waits; a command starts or sheds it by the given time.
 *
 * @param until when it is shed at the latest, in nanoseconds on the entry's clock
 */
public record Queued(long until) implements AdmissionDecision {

}
