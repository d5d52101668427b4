package org.comfreywall.group.mapswitch;

/**
 * A command that the agent returns to its driver.
 */
public sealed interface AgentCommand permits GrantStep, LoadMap, SendReport {

}
