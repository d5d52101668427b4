package org.comfreywall.entry.route;

/**
 * The sizes of what a router remembers.
 *
 * @param servers the backend servers known
 * @param subset the backend servers in use
 * @param sessions the sessions with a server
 * @param inFlight the attempts in flight
 * @param prefixClaims the pairs of prompt block and backend server
 */
public record RouterStatus(int servers, int subset, int sessions, int inFlight, int prefixClaims) {

}
