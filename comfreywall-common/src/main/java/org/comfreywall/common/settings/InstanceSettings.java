package org.comfreywall.common.settings;

import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.util.Preconditions;

/**
 * The settings of one instance.
 *
 * @param name the instance's name, unique in the fleet
 * @param roles the roles it holds, at least one
 * @param failureDomain the failure domain it is in
 * @param region the region of the failure domain
 * @param logLevel the least severe events that are logged
 * @param admin the admin listener
 * @param entry the settings of the role entry, present if it is held
 * @param sidecar the settings of the role sidecar, present if it is held
 * @param control the settings of the role control, present if it is held
 * @param tls the key files of all listeners, or empty for plain connections
 */
public record InstanceSettings(InstanceId name, Set<Role> roles, FailureDomainId failureDomain, String region,
		LogLevel logLevel, AdminSettings admin, Optional<EntrySettings> entry, Optional<SidecarSettings> sidecar,
		Optional<ControlSettings> control, Optional<TlsSettings> tls) {

	public InstanceSettings {
		Preconditions.notNull(name, "name");
		roles = Set.copyOf(roles);
		Preconditions.check(!roles.isEmpty(), "roles must not be empty");
		Preconditions.notNull(failureDomain, "failureDomain");
		Preconditions.notBlank(region, "region");
		Preconditions.notNull(logLevel, "logLevel");
		Preconditions.notNull(admin, "admin");
		Preconditions.notNull(tls, "tls");
		checkRole(roles, Role.ENTRY, entry);
		checkRole(roles, Role.SIDECAR, sidecar);
		checkRole(roles, Role.CONTROL, control);
	}

	private static void checkRole(Set<Role> roles, Role role, Optional<?> settings) {
		Preconditions.check(roles.contains(role) == settings.isPresent(),
				"settings of the role %s must be present if, and only if, it is held", role);
	}

}
