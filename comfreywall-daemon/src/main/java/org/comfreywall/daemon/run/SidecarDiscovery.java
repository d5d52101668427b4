package org.comfreywall.daemon.run;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.daemon.entry.EntryNode;
import org.comfreywall.daemon.entry.SidecarAddress;
import org.comfreywall.daemon.member.MemberListener;
import org.comfreywall.transport.generated.MemberInfo;

/**
 * Adds the sidecars among the live members to the entry. A sidecar is added again only if
 * its address, service or failure domain changes.
 */
final class SidecarDiscovery implements MemberListener {

	private static final EventLog LOG = EventLog.of(SidecarDiscovery.class);

	private final EntryNode entry;

	private final Map<BackendServerId, SidecarAddress> known = new HashMap<>();

	SidecarDiscovery(EntryNode entry) {
		this.entry = entry;
	}

	@Override
	public void onMembers(List<MemberInfo> members) {
		members.stream()
			.filter((member) -> !member.getBackendServer().isBlank() && !member.getLeaving())
			.forEach(this::addSidecar);
	}

	private void addSidecar(MemberInfo member) {
		Optional<HostPort> address = HostPort.parse(member.getAddress());
		if (address.isEmpty() || member.getService().isBlank() || member.getFailureDomain().isBlank()) {
			LOG.warn("member-malformed", Field.of("member", member.getInstance()));
			return;
		}
		SidecarAddress sidecar = new SidecarAddress(BackendServerId.of(member.getBackendServer()),
				ServiceId.of(member.getService()), FailureDomainId.of(member.getFailureDomain()), address.get());
		if (!sidecar.equals(this.known.put(sidecar.server(), sidecar))) {
			LOG.info("backend-server-announced", Field.of("backend-server", sidecar.server()),
					Field.of("service", sidecar.service()), Field.of("address", sidecar.address()));
			this.entry.addBackendServer(sidecar);
		}
	}

}
