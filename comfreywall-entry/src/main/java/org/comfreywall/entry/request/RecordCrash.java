package org.comfreywall.entry.request;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.util.Preconditions;

/**
 * Records the crash or loss of a backend server under the fingerprint of the request. The
 * driver retries until the ledger responds, and then responds with {@link CrashRecorded}.
 *
 * @param request the request
 * @param report the crash report
 */
public record RecordCrash(RequestId request, CrashReport report) implements RequestCommand {

	public RecordCrash {
		Preconditions.notNull(request, "request");
		Preconditions.notNull(report, "report");
	}

}
