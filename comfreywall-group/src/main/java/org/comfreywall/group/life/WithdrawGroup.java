package org.comfreywall.group.life;

/**
 * Sends the group no new requests.
 */
public record WithdrawGroup() implements GroupCommand {

}
