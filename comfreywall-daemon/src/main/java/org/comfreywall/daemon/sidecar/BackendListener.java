package org.comfreywall.daemon.sidecar;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.util.Bytes;

/**
 * Receives the events of one call to the backend server.
 */
interface BackendListener {

	/**
	 * Called once when the answer begins.
	 * @param status the HTTP status
	 * @param contentType the media type, or an empty string
	 */
	void onHead(int status, String contentType);

	/**
	 * Called for each part of the answer's body.
	 * @param data the part
	 */
	void onChunk(Bytes data);

	/**
	 * Called once when the whole answer has arrived.
	 */
	void onComplete();

	/**
	 * Called once when the call failed.
	 * @param error the reason
	 * @param sent whether any part of the request may have reached the backend server
	 */
	void onFailure(OperationError error, boolean sent);

}
