package org.comfreywall.control.log;

/**
 * A timer tick; the driver sends several of them per heartbeat interval.
 */
public record TimePassed() implements LogEvent {

}
