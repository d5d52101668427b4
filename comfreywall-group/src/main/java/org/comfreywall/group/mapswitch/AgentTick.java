package org.comfreywall.group.mapswitch;

/**
 * Periodic timer event, sent at least once per retry interval.
 */
public record AgentTick() implements AgentEvent {

}
