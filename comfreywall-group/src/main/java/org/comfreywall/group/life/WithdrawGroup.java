package org.comfreywall.group.life;

/**
 * Stops routing new requests to the group.
 */
public record WithdrawGroup() implements GroupCommand {

}
