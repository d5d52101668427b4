package org.comfreywall.bench.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationChange;
import org.comfreywall.common.config.toml.ConfigurationDiff;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.config.toml.ConfigurationWriter;

/**
 * Writes, reads and compares random configurations and counts wrong results. The expected
 * results are computed from the records, independently of the tables of the reader and
 * the writer.
 */
final class ConfigurationRun {

	private final Random random;

	private final RandomConfigurations configurations;

	private int violations;

	ConfigurationRun(long seed) {
		this.random = new Random(seed);
		this.configurations = new RandomConfigurations(this.random);
	}

	int violations() {
		return this.violations;
	}

	void step() {
		Configuration before = this.configurations.generate(ConfigurationSize.SMALL);
		check(equalIgnoringOrder(before, read(ConfigurationWriter.write(before))));
		Set<String> changedNames = new TreeSet<>();
		Configuration after = changeAccounts(before, changedNames);
		check(ConfigurationWriter.write(after).equals(ConfigurationWriter.write(shuffled(after))));
		Set<String> reportedNames = new TreeSet<>();
		ConfigurationDiff.between(before, after).stream().map(ConfigurationChange::name).forEach(reportedNames::add);
		check(reportedNames.equals(changedNames));
	}

	private void check(boolean holds) {
		if (!holds) {
			this.violations++;
		}
	}

	private static Configuration read(String text) {
		return ConfigurationReader.parse("random.toml", text).value().orElse(Configuration.EMPTY);
	}

	private Configuration changeAccounts(Configuration before, Set<String> changedNames) {
		List<AccountDescriptor> accounts = new ArrayList<>(before.accounts());
		int changes = this.random.nextInt(4);
		for (int i = 0; i < changes; i++) {
			int index = this.random.nextInt(accounts.size());
			AccountDescriptor old = accounts.get(index);
			changedNames.add(old.id().value());
			int number = Integer.parseInt(old.id().value().substring("account-".length()));
			if (this.random.nextBoolean()) {
				accounts.remove(index);
			}
			else {
				accounts.set(index, this.configurations.account(number, before.services()));
			}
		}
		return new Configuration(before.failureDomains(), before.services(), accounts, before.groups());
	}

	private Configuration shuffled(Configuration configuration) {
		return new Configuration(shuffled(configuration.failureDomains()), shuffled(configuration.services()),
				shuffled(configuration.accounts()), shuffled(configuration.groups()));
	}

	private <T> List<T> shuffled(List<T> parts) {
		List<T> copy = new ArrayList<>(parts);
		Collections.shuffle(copy, this.random);
		return copy;
	}

	private static boolean equalIgnoringOrder(Configuration expected, Configuration actual) {
		return new HashSet<>(expected.failureDomains()).equals(new HashSet<>(actual.failureDomains()))
				&& services(expected).equals(services(actual))
				&& new HashSet<>(expected.groups()).equals(new HashSet<>(actual.groups()))
				&& accounts(expected).equals(accounts(actual));
	}

	private static Set<String> services(Configuration configuration) {
		Set<String> services = new HashSet<>();
		configuration.services()
			.forEach((service) -> services.add(service.id() + " " + service.kind() + " " + service.pathPrefix() + " "
					+ new TreeSet<>(service.idempotentRequests()) + " " + service.keyRequired()));
		return services;
	}

	private static Set<String> accounts(Configuration configuration) {
		Set<String> accounts = new HashSet<>();
		configuration.accounts()
			.forEach((account) -> accounts.add(account.id() + " " + account.keyHashes() + " " + account.limits() + " "
					+ account.highestClass() + " " + new TreeSet<>(account.services())));
		return accounts;
	}

}
