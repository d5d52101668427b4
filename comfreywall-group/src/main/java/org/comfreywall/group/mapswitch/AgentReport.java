package org.comfreywall.group.mapswitch;

/**
 * A report from the agent of one rank to the coordinator.
 */
public sealed interface AgentReport
		permits JoinRequest, MapStaged, SwitchArmed, ArmRefused, DecisionQuery, SwitchReleased, StepProgress {

	/**
	 * Returns the reporting rank.
	 * @return the rank
	 */
	int rank();

	/**
	 * Returns the reporting member.
	 * @return the member
	 */
	Member member();

}
