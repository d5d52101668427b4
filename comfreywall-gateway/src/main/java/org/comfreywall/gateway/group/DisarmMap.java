package org.comfreywall.gateway.group;

/**
 * Cancels a map change that a rank was armed for; the rank keeps its current map.
 *
 * @param epoch the group's epoch
 * @param version the map's version
 */
public record DisarmMap(long epoch, long version) implements EngineOrder {
}
