package org.comfreywall.transport;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.transport.generated.Frame;

/**
 * Receives the events of a link; must not block.
 */
public interface PeerLinkListener {

	/**
	 * Called when a connection is established, also when it replaces an unresponsive one.
	 * @param connection the connection to use from now on
	 */
	void onUp(PeerConnection connection);

	/**
	 * Called for each frame.
	 * @param connection the connection on which the frame arrived
	 * @param frame the frame
	 */
	void onFrame(PeerConnection connection, Frame frame);

	/**
	 * Called when the connection was lost or an attempt to connect failed; the link keeps
	 * reconnecting.
	 * @param reason why there is no connection
	 */
	void onDown(OperationError reason);

}
