package org.comfreywall.gateway.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.gateway.poison.PoisonEvidence;
import org.comfreywall.gateway.poison.PoisonEvidenceCodec;
import org.comfreywall.gateway.pool.ColdReport;
import org.comfreywall.gateway.pool.Departure;
import org.comfreywall.gateway.pool.GroupState;
import org.comfreywall.gateway.pool.ServerAnnouncement;
import org.comfreywall.gateway.pool.ServerState;
import org.comfreywall.transport.generated.DepartureNotice;
import org.comfreywall.transport.generated.FleetMember;
import org.comfreywall.transport.generated.FleetNews;
import org.comfreywall.transport.generated.GroupNotice;
import org.comfreywall.transport.generated.ServerNotice;

/**
 * Converts peers, server announcements, groups and slow servers to and from messages.
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
			.setCommandFormat(peer.commandFormat())
			.build();
	}

	static Optional<FleetPeer> decode(FleetMember member) {
		return HostPort.parse(member.getAddress())
			.filter((address) -> !member.getInstance().isBlank())
			.map((address) -> new FleetPeer(member.getInstance(), address, member.getFailureDomain(),
					member.getIncarnation(), member.getStorageId(), member.getCommandFormat()));
	}

	static ServerNotice encode(ServerAnnouncement server, long ageNanos) {
		ServerNotice.Builder notice = ServerNotice.newBuilder()
			.setServer(server.server())
			.setService(server.service())
			.setAddress(server.address().toString())
			.setFailureDomain(server.domain())
			.setStartedMillis(server.startedMillis())
			.setSequence(server.sequence())
			.setSlots(server.slots())
			.setState(server.state().ordinal())
			.setAgeMillis(millis(ageNanos));
		server.cold().ifPresent((cold) -> notice.setColdMillis(millis(cold.left().toNanos())));
		return notice.build();
	}

	static Optional<ServerAnnouncement> decode(ServerNotice notice) {
		boolean valid = !notice.getServer().isBlank() && notice.getSlots() >= 1 && notice.getState() >= 0
				&& notice.getState() < ServerState.values().length;
		return HostPort.parse(notice.getAddress())
			.filter((address) -> valid)
			.map((address) -> new ServerAnnouncement(notice.getServer(), notice.getService(), address,
					notice.getFailureDomain(), notice.getStartedMillis(), notice.getSequence(), notice.getSlots(),
					ServerState.values()[notice.getState()], cold(notice)));
	}

	private static Optional<ColdReport> cold(ServerNotice notice) {
		return notice.hasColdMillis() ? Optional.of(ColdReport.ofMillis(Integer.toUnsignedLong(notice.getColdMillis())))
				: Optional.empty();
	}

	static DepartureNotice encode(Departure departure, long ageNanos) {
		return DepartureNotice.newBuilder()
			.setServer(departure.server())
			.setStartedMillis(departure.startedMillis())
			.setAgeMillis(millis(ageNanos))
			.build();
	}

	static Optional<Departure> decode(DepartureNotice notice) {
		return Optional.of(notice.getServer())
			.filter((server) -> !server.isBlank())
			.map((server) -> new Departure(server, notice.getStartedMillis()));
	}

	static void encode(PoisonEvidence evidence, FleetNews.Builder update, long now) {
		update.addAllCrashes(PoisonEvidenceCodec.notices(evidence.charges(), now))
			.addAllBegun(PoisonEvidenceCodec.notices(evidence.begun(), now))
			.addAllCompleted(PoisonEvidenceCodec.notices(evidence.completed(), now));
	}

	static PoisonEvidence decodePoisonEvidence(FleetNews update, long now) {
		return new PoisonEvidence(PoisonEvidenceCodec.charges(update.getCrashesList(), now),
				PoisonEvidenceCodec.times(update.getBegunList(), now),
				PoisonEvidenceCodec.times(update.getCompletedList(), now));
	}

	private static int millis(long nanos) {
		return (int) Math.max(0, Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(nanos)));
	}

	static GroupNotice encode(GroupState group) {
		return GroupNotice.newBuilder()
			.setGroup(group.group())
			.setService(group.service())
			.setEpoch(group.epoch())
			.setOpen(group.open())
			.addAllAddresses(group.servers().stream().map(HostPort::toString).toList())
			.build();
	}

	static List<GroupState> decodeGroups(FleetNews update) {
		return update.getGroupsList()
			.stream()
			.filter((notice) -> !notice.getGroup().isBlank())
			.map((notice) -> new GroupState(notice.getService(), notice.getGroup(), notice.getEpoch(), notice.getOpen(),
					notice.getAddressesList()
						.stream()
						.flatMap((address) -> HostPort.parse(address).stream())
						.collect(Collectors.toSet())))
			.toList();
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
