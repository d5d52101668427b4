package org.comfreywall.control.log;

/**
 * A linearizable read is to be made.
 *
 * @param read identifies the read in the answer
 */
public record ReadRequested(long read) implements LogEvent {

}
