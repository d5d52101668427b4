package org.comfreywall.daemon.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.settings.PeerSettings;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.PeerMessage;
import org.comfreywall.control.runtime.PeerSender;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.rpc.RpcClient;

/**
 * Sends messages of the replicated log to the other control instances.
 */
final class LogPeers implements PeerSender, AutoCloseable {

	private final Map<InstanceId, RpcClient> clients = new HashMap<>();

	LogPeers(Transport transport, InstanceId self, List<PeerSettings> peers) {
		for (PeerSettings peer : peers) {
			if (!peer.name().equals(self)) {
				this.clients.put(peer.name(), new RpcClient(transport, peer.address()));
			}
		}
	}

	@Override
	public void send(PeerMessage message) {
		RpcClient client = this.clients.get(message.to());
		// A message to an instance that is not a configured peer is dropped:
		// PeerSender permits the loss of messages.
		if (client != null) {
			client.send(ControlMethods.LOG_TOPIC, ByteString.copyFrom(LogCodec.encodeMessage(message).toArray()));
		}
	}

	@Override
	public void close() {
		this.clients.values().forEach(RpcClient::close);
	}

}
