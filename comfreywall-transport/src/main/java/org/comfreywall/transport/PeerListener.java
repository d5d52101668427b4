package org.comfreywall.transport;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.transport.generated.Frame;

/**
 * Receives the events of connections on their event loops; must not block.
 */
public interface PeerListener {

	/**
	 * Called once the peer has identified itself.
	 * @param connection the connection
	 */
	default void onOpen(PeerConnection connection) {
	}

	/**
	 * Called for each frame other than greetings and heartbeats.
	 * @param connection the connection
	 * @param frame the frame
	 */
	void onFrame(PeerConnection connection, Frame frame);

	/**
	 * Called while the peer has been quiet for the suspicion time, once a heartbeat
	 * interval.
	 * @param connection the connection
	 */
	default void onSuspicion(PeerConnection connection) {
	}

	/**
	 * Called once when the connection has closed.
	 * @param connection the connection
	 * @param reason why it closed
	 */
	void onClosed(PeerConnection connection, OperationError reason);

}
