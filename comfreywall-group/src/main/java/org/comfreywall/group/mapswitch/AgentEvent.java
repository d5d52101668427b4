package org.comfreywall.group.mapswitch;

/**
 * An input event of the agent of one rank.
 */
public sealed interface AgentEvent permits EngineConnected, StepReached, EngineLoaded, OrderReceived, AgentTick {

}
