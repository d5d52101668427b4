package org.comfreywall.bench.overload;

/**
 * Receives the outcomes of the attempts of clients.
 */
interface CallerSide {

	/**
	 * Handles an answer, which may arrive after the deadline.
	 * @param attempt the attempt
	 */
	void answered(SentRequest attempt);

	/**
	 * Handles an attempt that was refused at admission or shed from the queue.
	 * @param attempt the attempt
	 * @param retryAfterNanos the time in nanoseconds after which the client may retry
	 */
	void refused(SentRequest attempt, long retryAfterNanos);

}
