package org.comfreywall.cli.init;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.settings.Role;

/**
 * Answers to the questions of {@code comfreywall init}, from which it generates a fleet's
 * configuration and settings files.
 *
 * @param configuration the fleet's configuration
 * @param instances the answers about the instances, sorted by name
 */
record Answers(Configuration configuration, List<InstanceAnswers> instances) {

	static final Answers EMPTY = new Answers(Configuration.EMPTY, List.of());

	Answers {
		instances = instances.stream().sorted(Comparator.comparing(InstanceAnswers::name)).toList();
	}

	List<InstanceAnswers> controlInstances() {
		return this.instances.stream().filter((instance) -> instance.hasRole(Role.CONTROL)).toList();
	}

	Answers withAccounts(List<AccountDescriptor> accounts) {
		Configuration current = this.configuration;
		return new Answers(new Configuration(current.failureDomains(), current.services(), new ArrayList<>(accounts),
				current.groups()), this.instances);
	}

}
