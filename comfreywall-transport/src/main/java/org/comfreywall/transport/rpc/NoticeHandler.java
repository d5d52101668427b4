package org.comfreywall.transport.rpc;

import com.google.protobuf.ByteString;
import org.comfreywall.transport.PeerConnection;

/**
 * Handles the notices of one topic; must not block.
 */
@FunctionalInterface
public interface NoticeHandler {

	/**
	 * Called for each notice.
	 * @param connection the connection on which the notice arrived
	 * @param payload the notice's payload
	 */
	void onNotice(PeerConnection connection, ByteString payload);

}
