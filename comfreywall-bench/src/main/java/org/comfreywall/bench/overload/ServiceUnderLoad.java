package org.comfreywall.bench.overload;

/**
 * Takes sendings to the backend servers in some order.
 */
interface ServiceUnderLoad {

	/**
	 * Takes a sending.
	 * @param request the sending
	 */
	void send(SentRequest request);

}
