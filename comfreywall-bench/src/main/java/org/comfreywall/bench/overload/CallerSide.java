package org.comfreywall.bench.overload;

/**
 * Receives the outcomes of the attempts of clients.
 */
interface CallerSide {

	/**
	 * Handles an answer, which may arrive after the deadline.
	 * @param request the attempt
	 */
	void answered(SentRequest request);

	/**
	 * Handles an attempt that was refused at admission or shed from the queue.
	 * @param request the attempt
	 * @param retryAfterNanos the time in nanoseconds after which the client may retry
	 */
	void refused(SentRequest request, long retryAfterNanos);

}
