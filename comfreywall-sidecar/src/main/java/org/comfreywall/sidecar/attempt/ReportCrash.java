package org.comfreywall.sidecar.attempt;

import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.util.Preconditions;

/**
 * Reports a crash to the control instances; the driver must retry until it is
 * acknowledged.
 *
 * @param report the crash
 */
public record ReportCrash(CrashReport report) implements AttemptCommand {

	public ReportCrash {
		Preconditions.notNull(report, "report");
	}

}
