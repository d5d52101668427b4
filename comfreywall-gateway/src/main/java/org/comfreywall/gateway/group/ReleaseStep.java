package org.comfreywall.gateway.group;

/**
 * Releases a held pass, so that the group begins it.
 *
 * @param epoch the group's epoch
 * @param step the number of the pass
 */
public record ReleaseStep(long epoch, long step) implements EngineOrder {
}
