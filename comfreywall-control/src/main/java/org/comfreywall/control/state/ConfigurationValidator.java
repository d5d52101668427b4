package org.comfreywall.control.state;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.id.ServiceId;

/**
 * Checks that the services that accounts and groups refer to exist.
 */
final class ConfigurationValidator {

	private ConfigurationValidator() {
	}

	// Returns a description of the first problem, or empty if the configuration is valid.
	static Optional<String> findProblem(Configuration configuration) {
		Set<ServiceId> services = new HashSet<>(configuration.services().stream().map(ServiceDescriptor::id).toList());
		return findAccountProblem(configuration, services).or(() -> findGroupProblem(configuration, services));
	}

	private static Optional<String> findAccountProblem(Configuration configuration, Set<ServiceId> services) {
		return configuration.accounts()
			.stream()
			.flatMap((account) -> account.services()
				.stream()
				.filter((service) -> !services.contains(service))
				.map((service) -> "client account " + account.id() + " may call service " + service
						+ ", which does not exist; add the service or take it off the account"))
			.findFirst();
	}

	private static Optional<String> findGroupProblem(Configuration configuration, Set<ServiceId> services) {
		return configuration.groups()
			.stream()
			.filter((group) -> !services.contains(group.service()))
			.map((group) -> "group " + group.id() + " serves " + group.service()
					+ ", which does not exist; add the service or remove the group")
			.findFirst();
	}

}
