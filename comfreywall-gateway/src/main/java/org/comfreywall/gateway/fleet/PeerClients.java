package org.comfreywall.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.rpc.RpcClient;

/**
 * Connections to the other processes of the fleet. Confined to the event loop, except for
 * the lookup by instance, which is thread-safe.
 */
final class PeerClients {

	private final Transport transport;

	private final Map<HostPort, RpcClient> byAddress = new HashMap<>();

	private volatile Map<String, RpcClient> byInstance = Map.of();

	PeerClients(Transport transport) {
		this.transport = transport;
	}

	/**
	 * Returns the connection to an address, opening one if there is none.
	 * @param address the address
	 * @return the connection
	 */
	RpcClient findOrOpen(HostPort address) {
		return this.byAddress.computeIfAbsent(address, (added) -> new RpcClient(this.transport, added));
	}

	/**
	 * Returns the connection to an instance.
	 * @param instance the instance
	 * @return the connection, or empty if no update of the instance was received yet
	 */
	Optional<RpcClient> findByInstance(String instance) {
		return Optional.ofNullable(this.byInstance.get(instance));
	}

	/**
	 * Opens connections to all known processes and closes those to processes that are
	 * neither known nor seeds.
	 * @param peers the known processes
	 * @param settings the settings with this process's address and seeds
	 */
	void updateConnections(PeerTable peers, FleetSettings settings) {
		List<HostPort> known = peers.addresses();
		known.stream().filter((address) -> !address.equals(settings.address())).forEach(this::findOrOpen);
		this.byAddress.entrySet().removeIf((entry) -> {
			boolean unknown = !known.contains(entry.getKey()) && !settings.seeds().contains(entry.getKey());
			if (unknown) {
				entry.getValue().close();
			}
			return unknown;
		});
		Map<String, RpcClient> connected = new HashMap<>();
		for (FleetPeer peer : peers.knownPeers()) {
			RpcClient client = this.byAddress.get(peer.address());
			if (client != null) {
				connected.put(peer.instance(), client);
			}
		}
		this.byInstance = Map.copyOf(connected);
	}

	/**
	 * Sends a message to all processes, best effort: it is dropped where no connection is
	 * open.
	 * @param topic the topic
	 * @param payload the payload
	 */
	void sendToAll(String topic, ByteString payload) {
		this.byAddress.values().forEach((client) -> client.send(topic, payload));
	}

}
