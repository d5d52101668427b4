package org.comfreywall.cli.init;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.settings.Role;
import org.comfreywall.common.settings.SettingsKeys;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.Problems;
import org.comfreywall.common.toml.TomlTable;

/**
 * Validates answers about instances against each other and against the configuration:
 * unique names and ports, known failure domains and services, and the number of control
 * instances.
 */
final class InstanceRules {

	private final Problems problems;

	private final Configuration configuration;

	private final Set<String> seenNames = new HashSet<>();

	private final Set<String> seenListeners = new HashSet<>();

	InstanceRules(Problems problems, Configuration configuration) {
		this.problems = problems;
		this.configuration = configuration;
	}

	void validate(List<TomlTable> instances) {
		instances.forEach(this::validate);
		long control = instances.stream().filter((table) -> hasRole(table, Role.CONTROL)).count();
		if (!instances.isEmpty() && (control < 1 || control > SettingsKeys.MAX_CONTROL_INSTANCES)) {
			this.problems.add("instance", "(" + control + " with the role control)",
					"1 to " + SettingsKeys.MAX_CONTROL_INSTANCES
							+ " instances with the role \"control\"; 3 tolerate the failure of one");
		}
	}

	private void validate(TomlTable table) {
		String name = table.value(AnswersKeys.NAME);
		if (!this.seenNames.add(name)) {
			addProblem(table, AnswersKeys.NAME, name, "a unique name");
		}
		String domain = table.value(AnswersKeys.FAILURE_DOMAIN);
		if (this.configuration.failureDomains().stream().noneMatch((known) -> known.id().value().equals(domain))) {
			addProblem(table, AnswersKeys.FAILURE_DOMAIN, domain, "a failure domain in the answers");
		}
		String address = table.value(AnswersKeys.ADDRESS);
		if (HostPort.of(address, 1).isEmpty()) {
			addProblem(table, AnswersKeys.ADDRESS, address, AnswersKeys.ADDRESS.type().allowed());
		}
		checkPort(table, Role.ENTRY, AnswersKeys.ENTRY_PORT);
		checkPort(table, Role.SIDECAR, AnswersKeys.SIDECAR_PORT);
		checkPort(table, Role.CONTROL, AnswersKeys.CONTROL_PORT);
		checkService(table);
	}

	private void checkPort(TomlTable table, Role role, KeyDescriptor<Integer> port) {
		String listener = table.value(AnswersKeys.ADDRESS) + " port " + table.value(port);
		if (hasRole(table, role) && !this.seenListeners.add(listener)) {
			addProblem(table, port, listener, "a port that no other listener at this address uses");
		}
	}

	private void checkService(TomlTable table) {
		if (!hasRole(table, Role.SIDECAR)) {
			return;
		}
		String service = table.find(AnswersKeys.SERVICE).orElse("");
		boolean known = !service.isEmpty() && this.configuration.service(ServiceId.of(service)).isPresent();
		if (!known) {
			addProblem(table, AnswersKeys.SERVICE, service,
					"a service in the answers, because roles contains \"sidecar\"");
		}
	}

	private static boolean hasRole(TomlTable table, Role role) {
		return table.value(AnswersKeys.ROLES).contains(role);
	}

	private void addProblem(TomlTable table, KeyDescriptor<?> key, String value, String allowed) {
		this.problems.add(table.fullName(key), "\"" + value + "\"", allowed);
	}

}
