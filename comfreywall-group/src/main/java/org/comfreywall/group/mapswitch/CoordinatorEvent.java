package org.comfreywall.group.mapswitch;

/**
 * An event at the coordinator.
 */
public sealed interface CoordinatorEvent permits CoordinatorStarted, WriteDurable, SwitchRequested, SwitchCancelled,
		MapInstallRequested, MemberChosen, ReportReceived, CoordinatorTick {

}
