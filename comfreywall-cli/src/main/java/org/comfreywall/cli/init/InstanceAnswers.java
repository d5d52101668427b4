package org.comfreywall.cli.init;

import java.net.URI;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.settings.EngineRole;
import org.comfreywall.common.settings.Role;
import org.comfreywall.common.toml.HostPort;

/**
 * Answers about one instance.
 *
 * @param name the instance's name
 * @param failureDomain its failure domain
 * @param address its IP number
 * @param roles the roles it holds
 * @param adminListen where it takes operators' requests
 * @param entryPort the port for callers' requests
 * @param sidecarPort the port of its sidecar
 * @param controlPort the port of its control role
 * @param dataFolder the folder for durable state
 * @param service the service of the backend server beside it
 * @param backend the base URL of the backend server
 * @param engineRole the part of requests that the backend server runs
 * @param engineChecksFencing whether its engine refuses old fencing numbers
 * @param tlsFolder the folder with the key files
 */
record InstanceAnswers(String name, String failureDomain, String address, List<Role> roles, HostPort adminListen,
		int entryPort, int sidecarPort, int controlPort, Path dataFolder, Optional<String> service, URI backend,
		EngineRole engineRole, boolean engineChecksFencing, Optional<Path> tlsFolder) {

	InstanceAnswers {
		roles = List.copyOf(roles);
	}

	boolean holds(Role role) {
		return this.roles.contains(role);
	}

	HostPort at(int port) {
		return new HostPort(this.address, port);
	}

	HostPort controlAddress() {
		return at(this.controlPort);
	}

}
