package org.comfreywall.group.life;

/**
 * Periodic timer event, sent several times within the shortest timeout.
 */
public record GroupTick() implements GroupEvent {

}
