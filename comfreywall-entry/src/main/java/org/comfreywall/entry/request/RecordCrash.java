package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.util.Preconditions;

/**
 * Charge the loss of a backend server; to be repeated until the ledger answers, and then
 * to be answered with {@link CrashRecorded}.
 *
 * @param request the request
 * @param report the loss
 */
public record RecordCrash(RequestId request, CrashReport report) implements RequestCommand {

	public RecordCrash {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(report, "report");
	}

}
