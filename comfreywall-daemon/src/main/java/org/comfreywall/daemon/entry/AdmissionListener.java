package org.comfreywall.daemon.entry;

import java.time.Duration;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.OperationError;

/**
 * Receives the decisions of the admission gate on the entry's worker.
 */
interface AdmissionListener {

	/**
	 * Called once when a request may run.
	 * @param request the request
	 * @param queued how long it waited for capacity
	 */
	void onAdmitted(RequestId request, Duration queued);

	/**
	 * Called once when a request is refused.
	 * @param request the request
	 * @param error why
	 * @param retryAfter the time after which it is expected to get in
	 */
	void onRefused(RequestId request, OperationError error, Duration retryAfter);

}
