package org.comfreywall.cli.init;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.settings.EngineRole;
import org.comfreywall.common.settings.Role;
import org.comfreywall.common.toml.HostPort;

/**
 * Answers about one instance. The ports, the data folder and the answers about the
 * backend server apply only if the instance has the role that uses them.
 *
 * @param name the instance's name
 * @param failureDomain its failure domain
 * @param address the IP address at which other instances reach it, without a port
 * @param roles its roles
 * @param adminListen the listening address of its admin API
 * @param entryPort the port of its entry role, for callers' requests
 * @param sidecarPort the port of its sidecar role
 * @param controlPort the port of its control role
 * @param dataFolder the folder for the durable state of its control role
 * @param service the service of its backend server, required for the sidecar role
 * @param backend the base URL of its backend server
 * @param engineRole the phase of requests that its backend server runs
 * @param engineChecksFencing whether its engine rejects orders with outdated fencing
 * numbers
 * @param tlsFolder the folder with the TLS files; empty for unencrypted connections
 */
record InstanceAnswers(String name, String failureDomain, String address, List<Role> roles, HostPort adminListen,
		int entryPort, int sidecarPort, int controlPort, Path dataFolder, Optional<String> service, URI backend,
		EngineRole engineRole, boolean engineChecksFencing, Optional<Path> tlsFolder) {

	InstanceAnswers {
		roles = List.copyOf(roles);
	}

	boolean hasRole(Role role) {
		return this.roles.contains(role);
	}

	HostPort atPort(int port) {
		return new HostPort(this.address, port);
	}

	HostPort controlAddress() {
		return atPort(this.controlPort);
	}

}
