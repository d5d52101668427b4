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
 * Writes, reads and compares random configurations and counts wrong results. What is
 * right is worked out from the records, without the reader's and writer's own tables.
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
		Configuration before = this.configurations.generate(FleetSize.SMALL);
		check(same(before, read(ConfigurationWriter.write(before))));
		Set<String> touched = new TreeSet<>();
		Configuration after = changed(before, touched);
		check(ConfigurationWriter.write(after).equals(ConfigurationWriter.write(shuffled(after))));
		Set<String> found = new TreeSet<>();
		ConfigurationDiff.between(before, after).stream().map(ConfigurationChange::name).forEach(found::add);
		check(found.equals(touched));
	}

	private void check(boolean holds) {
		if (!holds) {
			this.violations++;
		}
	}

	private static Configuration read(String text) {
		return ConfigurationReader.parse("random.toml", text).value().orElse(Configuration.EMPTY);
	}

	private Configuration changed(Configuration before, Set<String> touched) {
		List<AccountDescriptor> accounts = new ArrayList<>(before.accounts());
		int changes = this.random.nextInt(4);
		for (int i = 0; i < changes; i++) {
			int index = this.random.nextInt(accounts.size());
			AccountDescriptor old = accounts.get(index);
			touched.add(old.id().value());
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

	private static boolean same(Configuration left, Configuration right) {
		return new HashSet<>(left.failureDomains()).equals(new HashSet<>(right.failureDomains()))
				&& services(left).equals(services(right))
				&& new HashSet<>(left.groups()).equals(new HashSet<>(right.groups()))
				&& accounts(left).equals(accounts(right));
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
