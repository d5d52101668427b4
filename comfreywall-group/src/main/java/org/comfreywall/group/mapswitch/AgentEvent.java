package org.comfreywall.group.mapswitch;

/**
 * An event at the agent of one rank.
 */
public sealed interface AgentEvent permits EngineConnected, StepReached, EngineLoaded, OrderReceived, AgentTick {

}
