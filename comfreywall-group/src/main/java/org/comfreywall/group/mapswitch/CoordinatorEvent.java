package org.comfreywall.group.mapswitch;

/**
 * An input event of the coordinator.
 */
public sealed interface CoordinatorEvent permits CoordinatorStarted, WriteDurable, SwitchRequested, SwitchCancelled,
		MapInstallRequested, AssignmentRequested, ReportReceived, CoordinatorTick {

}
