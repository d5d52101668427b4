package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * The coordinator received a report from the agent of a rank.
 *
 * @param report the report
 */
public record ReportReceived(AgentReport report) implements CoordinatorEvent {

	public ReportReceived {
		Preconditions.notNull(report, "report");
	}

}
