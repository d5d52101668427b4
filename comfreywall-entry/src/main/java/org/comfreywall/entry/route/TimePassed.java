package org.comfreywall.entry.route;

/**
 * A timer event, sent by the driver about every 100 ms; the router then refreshes its
 * subset.
 */
public record TimePassed() implements RouterEvent {

}
