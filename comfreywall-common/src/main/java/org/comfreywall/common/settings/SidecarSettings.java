package org.comfreywall.common.settings;

import java.net.URI;
import java.util.List;

import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the sidecar role.
 *
 * @param listen the address on which connections of entry instances are accepted
 * @param service the service that the backend server offers
 * @param backend the base URL of the backend server
 * @param role the phases of inference that the backend server runs
 * @param engineChecksFencing whether the engine itself rejects commands with stale
 * fencing numbers
 * @param control the addresses of the control instances
 */
public record SidecarSettings(HostPort listen, ServiceId service, URI backend, EngineRole role,
		boolean engineChecksFencing, List<HostPort> control) {

	public SidecarSettings {
		Preconditions.notNull(listen, "listen");
		Preconditions.notNull(service, "service");
		Preconditions.notNull(backend, "backend");
		Preconditions.notNull(role, "role");
		control = List.copyOf(control);
		Preconditions.check(!control.isEmpty(), "control must not be empty");
	}

}
