package org.comfreywall.entry.route;

/**
 * Time passed; the driver tells it about every 100 ms, and the router then brings its
 * subset up to date.
 */
public record TimePassed() implements RouterEvent {

}
