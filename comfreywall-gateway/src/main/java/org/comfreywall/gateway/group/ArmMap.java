package org.comfreywall.gateway.group;

/**
 * Arms a rank: it changes to a prepared map when the given pass begins.
 *
 * @param epoch the group's epoch
 * @param version the map's version
 * @param step the number of the first pass that runs under the map
 */
public record ArmMap(long epoch, long version, long step) implements EngineOrder {
}
