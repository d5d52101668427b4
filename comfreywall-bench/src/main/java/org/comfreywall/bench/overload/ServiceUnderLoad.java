package org.comfreywall.bench.overload;

/**
 * A service that passes the attempts of clients to the backend servers in an order of its
 * own.
 */
interface ServiceUnderLoad {

	/**
	 * Receives an attempt of a client.
	 * @param attempt the attempt
	 */
	void submit(ClientAttempt attempt);

}
