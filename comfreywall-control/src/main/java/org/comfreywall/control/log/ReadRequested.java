package org.comfreywall.control.log;

/**
 * A linearizable read is requested.
 *
 * @param read identifies the read in {@link ReadReady} or {@link ReadRefused}
 */
public record ReadRequested(long read) implements LogEvent {

}
