package org.comfreywall.entry.request;

/**
 * Time passed; to be sent at the time of the next timer.
 */
public record TimePassed() implements RequestEvent {

}
