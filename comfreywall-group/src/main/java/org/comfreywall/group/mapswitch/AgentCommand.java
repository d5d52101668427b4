package org.comfreywall.group.mapswitch;

/**
 * A command of the agent to its driver.
 */
public sealed interface AgentCommand permits GrantStep, LoadMap, SendReport {

}
