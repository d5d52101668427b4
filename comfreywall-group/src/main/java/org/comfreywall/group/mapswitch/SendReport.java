package org.comfreywall.group.mapswitch;

import org.comfreywall.common.util.Preconditions;

/**
 * Sends a report to the control instances; only the leader handles it.
 *
 * @param report the report
 */
public record SendReport(AgentReport report) implements AgentCommand {

	public SendReport {
		Preconditions.notNull(report, "report");
	}

}
