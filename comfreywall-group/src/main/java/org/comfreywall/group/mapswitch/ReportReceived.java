package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * A report from the agent of a rank arrived.
 *
 * @param report the report
 */
public record ReportReceived(AgentReport report) implements CoordinatorEvent {

	public ReportReceived {
		Preconditions.notNull(report, "report");
	}

}
