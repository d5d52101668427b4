package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.FencingNumber;

/**
 * An order from the coordinator to the agent of one rank.
 */
public sealed interface AgentOrder permits Welcome, StageMap, ArmSwitch, ReleaseSwitch, Dismiss {

	/**
	 * Returns the order's fencing number.
	 * @return the number
	 */
	FencingNumber number();

}
