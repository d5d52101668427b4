package org.comfreywall.group.life;

/**
 * The group is no longer wanted.
 */
public record DissolveRequested() implements GroupEvent {

}
