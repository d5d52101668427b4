package org.comfreywall.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import org.comfreywall.gateway.pool.ServerAnnouncement;

/**
 * Observes the heads of all responses of backend servers, including those that no request
 * awaits. Called on the event loop.
 */
@FunctionalInterface
interface ResponseObserver {

	/**
	 * Called before the head is handled.
	 * @param server the server that the connection was opened to
	 * @param head the status and headers
	 * @param late whether no request awaits the response
	 */
	void onHead(ServerAnnouncement server, HttpResponse head, boolean late);

}
