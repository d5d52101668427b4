package org.comfreywall.entry.route;

/**
 * The sizes of a router's tables.
 *
 * @param servers the known backend servers
 * @param subset the backend servers in use
 * @param sessions the sessions whose last server is stored
 * @param inFlight the attempts in flight
 * @param blockLocations the pairs of prompt block and backend server in the prefix index
 */
public record RouterStatus(int servers, int subset, int sessions, int inFlight, int blockLocations) {

}
