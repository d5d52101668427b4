package org.comfreywall.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response of a backend server to one attempt. Called on the event loop.
 */
interface AttemptListener {

	/**
	 * Called when status and headers of the response have arrived.
	 * @param head the status and headers
	 */
	void onHead(HttpResponse head);

	/**
	 * Called for each part of the body.
	 * @param part the bytes; valid during the call only
	 */
	void onBody(ByteBuf part);

	/**
	 * Called when the response is complete.
	 */
	void onComplete();

	/**
	 * Called when the connection failed or delivered no valid HTTP response.
	 * @param reason the reason, for logs and metrics
	 */
	void onBroken(String reason);

}
