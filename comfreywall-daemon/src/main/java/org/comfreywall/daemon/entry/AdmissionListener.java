package org.comfreywall.daemon.entry;

import java.time.Duration;

import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.result.OperationError;

/**
 * Receives admission decisions on the entry's worker thread.
 */
interface AdmissionListener {

	/**
	 * Called once when a request is admitted.
	 * @param request the request
	 * @param queued the time that the request spent in the queue for capacity
	 */
	void onAdmitted(RequestId request, Duration queued);

	/**
	 * Called once when a request is refused.
	 * @param request the request
	 * @param error the reason
	 * @param retryAfter the time after which a retry is expected to be admitted
	 */
	void onRefused(RequestId request, OperationError error, Duration retryAfter);

}
