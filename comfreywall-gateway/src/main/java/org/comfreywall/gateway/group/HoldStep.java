package org.comfreywall.gateway.group;

/**
 * Holds a pass: the group does not begin it until it is released.
 *
 * @param epoch the group's epoch
 * @param step the number of the pass, which must not have begun
 */
public record HoldStep(long epoch, long step) implements EngineOrder {
}
