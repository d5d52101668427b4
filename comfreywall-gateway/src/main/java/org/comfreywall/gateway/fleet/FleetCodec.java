package org.comfreywall.gateway.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.gateway.pool.ServerAnnouncement;
import org.comfreywall.gateway.pool.ServerState;
import org.comfreywall.transport.generated.FleetMember;
import org.comfreywall.transport.generated.FleetNews;
import org.comfreywall.transport.generated.ServerNotice;

/**
 * Converts peers, server announcements and slow servers to and from messages.
 */
final class FleetCodec {

	private FleetCodec() {
	}

	static FleetMember encode(FleetPeer peer) {
		return FleetMember.newBuilder()
			.setInstance(peer.instance())
			.setAddress(peer.address().toString())
			.setFailureDomain(peer.domain())
			.setIncarnation(peer.incarnation())
			.setStorageId(peer.storageId())
			.build();
	}

	static Optional<FleetPeer> decode(FleetMember member) {
		return HostPort.parse(member.getAddress())
			.filter((address) -> !member.getInstance().isBlank())
			.map((address) -> new FleetPeer(member.getInstance(), address, member.getFailureDomain(),
					member.getIncarnation(), member.getStorageId()));
	}

	static ServerNotice encode(ServerAnnouncement server, long ageNanos) {
		return ServerNotice.newBuilder()
			.setServer(server.server())
			.setService(server.service())
			.setAddress(server.address().toString())
			.setFailureDomain(server.domain())
			.setStartedMillis(server.startedMillis())
			.setSequence(server.sequence())
			.setSlots(server.slots())
			.setState(server.state().ordinal())
			.setAgeMillis((int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(ageNanos)))
			.build();
	}

	static Optional<ServerAnnouncement> decode(ServerNotice notice) {
		boolean valid = !notice.getServer().isBlank() && notice.getSlots() >= 1 && notice.getState() >= 0
				&& notice.getState() < ServerState.values().length;
		return HostPort.parse(notice.getAddress())
			.filter((address) -> valid)
			.map((address) -> new ServerAnnouncement(notice.getServer(), notice.getService(), address,
					notice.getFailureDomain(), notice.getStartedMillis(), notice.getSequence(), notice.getSlots(),
					ServerState.values()[notice.getState()]));
	}

	static Map<HostPort, Double> decodeSlowServers(FleetNews update) {
		Map<HostPort, Double> slow = new HashMap<>();
		update.getSlowServersList()
			.forEach((server) -> HostPort.parse(server.getAddress())
				.filter((address) -> server.getPace() > 0)
				.ifPresent((address) -> slow.put(address, server.getPace())));
		return slow;
	}

}
