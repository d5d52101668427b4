package org.comfreywall.control.log;

/**
 * Time has passed; sent several times within a heartbeat interval.
 */
public record TimePassed() implements LogEvent {

}
