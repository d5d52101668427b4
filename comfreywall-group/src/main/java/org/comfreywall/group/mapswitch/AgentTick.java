package org.comfreywall.group.mapswitch;

/**
 * Periodic timer event, sent at least every {@link AgentSettings#retryNanos()}.
 */
public record AgentTick() implements AgentEvent {

}
