package org.comfreywall.bench.overload;

/**
 * Hears how sendings end.
 */
interface CallerSide {

	/**
	 * The answer arrived, perhaps too late.
	 * @param request the sending
	 */
	void answered(SentRequest request);

	/**
	 * The sending was refused or shed.
	 * @param request the sending
	 * @param retryAfterNanos when to send again
	 */
	void refused(SentRequest request, long retryAfterNanos);

}
