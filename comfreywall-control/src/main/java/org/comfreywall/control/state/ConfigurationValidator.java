package org.comfreywall.control.state;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.id.ServiceId;

/**
 * Checks that the parts of a configuration fit together.
 */
final class ConfigurationValidator {

	private ConfigurationValidator() {
	}

	// Returns what is wrong, or empty if nothing is.
	static Optional<String> problem(Configuration configuration) {
		Set<ServiceId> services = new HashSet<>(configuration.services().stream().map(ServiceDescriptor::id).toList());
		return accountProblem(configuration, services).or(() -> groupProblem(configuration, services));
	}

	private static Optional<String> accountProblem(Configuration configuration, Set<ServiceId> services) {
		return configuration.accounts()
			.stream()
			.flatMap((account) -> account.services()
				.stream()
				.filter((service) -> !services.contains(service))
				.map((service) -> "client account " + account.id() + " may call service " + service
						+ ", which does not exist; add the service or take it off the account"))
			.findFirst();
	}

	private static Optional<String> groupProblem(Configuration configuration, Set<ServiceId> services) {
		return configuration.groups()
			.stream()
			.filter((group) -> !services.contains(group.service()))
			.map((group) -> "group " + group.id() + " serves " + group.service()
					+ ", which does not exist; add the service or remove the group")
			.findFirst();
	}

}
