package org.comfreywall.group.mapswitch;

/**
 * Time passed; sent at least every retry interval.
 */
public record AgentTick() implements AgentEvent {

}
