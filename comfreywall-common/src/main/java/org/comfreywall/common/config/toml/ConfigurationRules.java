package org.comfreywall.common.config.toml;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.comfreywall.common.config.ServiceKind;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.NearestName;
import org.comfreywall.common.toml.Problems;
import org.comfreywall.common.toml.TomlTable;

/**
 * Validates rules that involve several elements of a configuration.
 */
final class ConfigurationRules {

	private final Problems problems;

	private final Map<String, ServiceKind> services = new HashMap<>();

	private final Map<String, ServiceKind> pathPrefixes = new HashMap<>();

	private final Set<String> keyHashes = new HashSet<>();

	ConfigurationRules(Problems problems) {
		this.problems = problems;
	}

	void validate(TomlTable root) {
		checkNames(root.tables(ConfigurationKeys.FAILURE_DOMAIN), ConfigurationKeys.DOMAIN_NAME);
		checkNames(root.tables(ConfigurationKeys.SERVICE), ConfigurationKeys.SERVICE_NAME);
		checkNames(root.tables(ConfigurationKeys.ACCOUNT), ConfigurationKeys.ACCOUNT_NAME);
		checkNames(root.tables(ConfigurationKeys.GROUP), ConfigurationKeys.GROUP_NAME);
		root.tables(ConfigurationKeys.SERVICE).forEach(this::checkService);
		root.tables(ConfigurationKeys.ACCOUNT).forEach(this::checkAccount);
		root.tables(ConfigurationKeys.GROUP).forEach(this::checkGroup);
	}

	private void checkNames(List<TomlTable> tables, KeyDescriptor<String> key) {
		Set<String> names = new HashSet<>();
		tables.stream()
			.filter((table) -> !names.add(table.value(key)))
			.forEach((table) -> addProblem(table, key, table.value(key), "a name used once"));
	}

	private void checkService(TomlTable table) {
		ServiceKind kind = table.value(ConfigurationKeys.KIND);
		String prefix = table.value(ConfigurationKeys.PATH_PREFIX);
		this.services.put(table.value(ConfigurationKeys.SERVICE_NAME), kind);
		ServiceKind other = this.pathPrefixes.put(prefix, kind);
		if (other != null && (other == ServiceKind.PLAIN || kind == ServiceKind.PLAIN)) {
			addProblem(table, ConfigurationKeys.PATH_PREFIX, prefix,
					"a path that no other service has; only models share one");
		}
		table.value(ConfigurationKeys.IDEMPOTENT_REQUESTS)
			.stream()
			.filter((request) -> !request.substring(request.indexOf('/')).startsWith(prefix))
			.forEach((request) -> addProblem(table, ConfigurationKeys.IDEMPOTENT_REQUESTS, request,
					"requests whose path starts with the service's path-prefix \"" + prefix + "\""));
	}

	private void checkAccount(TomlTable table) {
		table.value(ConfigurationKeys.SERVICES)
			.stream()
			.filter((service) -> !this.services.containsKey(service))
			.forEach((service) -> addProblem(table, ConfigurationKeys.SERVICES, service,
					"services of the configuration", this.services.keySet()));
		boolean unused = table.value(ConfigurationKeys.KEY_HASHES).stream().allMatch(this.keyHashes::add);
		if (!unused) {
			this.problems.add(table.fullName(ConfigurationKeys.KEY_HASHES), "(hidden)",
					"digests that no other client account has; give each account its own API key");
		}
	}

	private void checkGroup(TomlTable table) {
		String service = table.value(ConfigurationKeys.GROUP_SERVICE);
		if (this.services.get(service) != ServiceKind.MODEL) {
			List<String> models = this.services.keySet()
				.stream()
				.filter((name) -> this.services.get(name) == ServiceKind.MODEL)
				.toList();
			addProblem(table, ConfigurationKeys.GROUP_SERVICE, service, "a service of the kind \"model\"",
					Set.copyOf(models));
		}
		long ranks = table.value(ConfigurationKeys.RANKS);
		int experts = table.value(ConfigurationKeys.EXPERTS);
		int slots = table.value(ConfigurationKeys.SLOTS);
		if (ranks * slots < experts) {
			this.problems.add(table.fullName(ConfigurationKeys.SLOTS), Integer.toString(slots),
					"enough slots for every expert: at least " + (experts + ranks - 1) / ranks);
		}
	}

	private void addProblem(TomlTable table, KeyDescriptor<?> key, String value, String allowed, Set<String> known) {
		String suggestion = NearestName.find(value, known)
			.map((nearest) -> "; did you mean \"" + nearest + "\"?")
			.orElse("");
		addProblem(table, key, value, allowed + suggestion);
	}

	private void addProblem(TomlTable table, KeyDescriptor<?> key, String value, String allowed) {
		this.problems.add(table.fullName(key), "\"" + value + "\"", allowed);
	}

}
