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
 * @param roles the instance's roles, at least one
 * @param failureDomain the failure domain of the instance
 * @param region the region of the failure domain
 * @param logLevel the minimum severity of logged events
 * @param admin the admin listener
 * @param entry the settings of the entry role, present only with that role
 * @param sidecar the settings of the sidecar role, present only with that role
 * @param control the settings of the control role, present only with that role
 * @param tls the TLS files of all listeners, or empty for unencrypted connections
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
				"settings of the role %s must be present if, and only if, roles contains it", role);
	}

}
