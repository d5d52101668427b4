package org.comfreywall.group.life;

/**
 * The group was removed and has to release its members.
 */
public record DissolveRequested() implements GroupEvent {

}
