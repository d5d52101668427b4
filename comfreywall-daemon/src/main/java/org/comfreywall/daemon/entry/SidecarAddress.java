package org.comfreywall.daemon.entry;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Where a backend server's sidecar is reached.
 *
 * @param server the backend server
 * @param service the service that it offers
 * @param domain its failure domain
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
