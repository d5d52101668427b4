package org.comfreywall.daemon.entry;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * The address of a backend server's sidecar, with the service and failure domain of the
 * backend server.
 *
 * @param server the backend server
 * @param service the service that the backend server offers
 * @param domain the failure domain of the backend server
 * @param address the sidecar's address
 */
public record SidecarAddress(BackendServerId server, ServiceId service, FailureDomainId domain, HostPort address) {

	public SidecarAddress {
		Preconditions.notNull(server, "server");
		Preconditions.notNull(service, "service");
		Preconditions.notNull(domain, "domain");
		Preconditions.notNull(address, "address");
	}

}
