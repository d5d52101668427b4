package org.comfreywall.transport;

import org.comfreywall.common.result.OperationError;
import org.comfreywall.transport.generated.Frame;

/**
 * Receives the events of connections on their event loops; must not block.
 */
public interface PeerListener {

	/**
	 * Called once the peer's identity has been received and its protocol version
	 * accepted.
	 * @param connection the connection
	 */
	default void onOpen(PeerConnection connection) {
	}

	/**
	 * Called for each frame other than {@code Hello}, {@code Ping} and {@code Pong}.
	 * @param connection the connection
	 * @param frame the frame
	 */
	void onFrame(PeerConnection connection, Frame frame);

	/**
	 * Called once per heartbeat interval while no frame has arrived for longer than the
	 * suspicion timeout.
	 * @param connection the connection
	 */
	default void onSuspected(PeerConnection connection) {
	}

	/**
	 * Called once when the connection has closed.
	 * @param connection the connection
	 * @param reason the error that closed the connection
	 */
	void onClosed(PeerConnection connection, OperationError reason);

}
