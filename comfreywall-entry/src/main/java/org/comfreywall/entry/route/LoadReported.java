package org.comfreywall.entry.route;

import org.comfreywall.common.util.Preconditions;

/**
 * A load report was received; one that is not newer than the last has no effect.
 *
 * @param report the report
 */
public record LoadReported(LoadReport report) implements RouterEvent {

	public LoadReported {
		Preconditions.notNull(report, "report");
	}

}
