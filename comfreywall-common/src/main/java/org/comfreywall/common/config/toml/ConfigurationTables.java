package org.comfreywall.common.config.toml;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.config.GroupDescriptor;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.toml.KeyDescriptor;
import org.comfreywall.common.toml.TableDescriptor;
import org.comfreywall.common.toml.TomlField;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Converts a configuration into tables in canonical form: ordered by section, then by
 * name, with defaults written out and lists sorted.
 */
public final class ConfigurationTables {

	private ConfigurationTables() {
	}

	/**
	 * Converts a configuration into tables.
	 * @param configuration the configuration
	 * @return the tables in canonical order
	 */
	public static List<ConfigurationTable> of(Configuration configuration) {
		List<ConfigurationTable> tables = new ArrayList<>();
		tables.addAll(sorted(configuration.failureDomains().stream().map(ConfigurationTables::failureDomain).toList()));
		tables.addAll(sorted(configuration.services().stream().map(ConfigurationTables::service).toList()));
		tables.addAll(sorted(configuration.accounts().stream().map(ConfigurationTables::account).toList()));
		tables.addAll(sorted(configuration.groups().stream().map(ConfigurationTables::group).toList()));
		return tables;
	}

	private static List<ConfigurationTable> sorted(List<ConfigurationTable> tables) {
		return tables.stream().sorted(Comparator.comparing(ConfigurationTable::name)).toList();
	}

	private static ConfigurationTable failureDomain(FailureDomainDescriptor domain) {
		return table(ConfigurationKeys.FAILURE_DOMAIN, domain.id().value(),
				stringField(ConfigurationKeys.DOMAIN_NAME, domain.id().value()),
				stringField(ConfigurationKeys.REGION, domain.region()));
	}

	private static ConfigurationTable service(ServiceDescriptor service) {
		return table(ConfigurationKeys.SERVICE, service.id().value(),
				stringField(ConfigurationKeys.SERVICE_NAME, service.id().value()),
				stringField(ConfigurationKeys.KIND, ValueTypes.lowerCase(service.kind())),
				stringField(ConfigurationKeys.PATH_PREFIX, service.pathPrefix()),
				listField(ConfigurationKeys.IDEMPOTENT_REQUESTS, service.idempotentRequests()),
				TomlField.of(ConfigurationKeys.KEY_REQUIRED.name(), service.keyRequired()));
	}

	private static ConfigurationTable account(AccountDescriptor account) {
		return table(ConfigurationKeys.ACCOUNT, account.id().value(),
				stringField(ConfigurationKeys.ACCOUNT_NAME, account.id().value()),
				listField(ConfigurationKeys.KEY_HASHES, account.keyHashes()),
				TomlField.of(ConfigurationKeys.REQUESTS.name(), account.limits().requestsPerSecond()),
				TomlField.of(ConfigurationKeys.TOKENS.name(), account.limits().tokensPerSecond()),
				TomlField.of(ConfigurationKeys.IN_FLIGHT.name(), account.limits().inFlight()),
				stringField(ConfigurationKeys.HIGHEST_CLASS, ValueTypes.lowerCase(account.highestClass())),
				listField(ConfigurationKeys.SERVICES,
						account.services().stream().map((service) -> service.value()).toList()));
	}

	private static ConfigurationTable group(GroupDescriptor group) {
		return table(ConfigurationKeys.GROUP, group.id().value(),
				stringField(ConfigurationKeys.GROUP_NAME, group.id().value()),
				stringField(ConfigurationKeys.GROUP_SERVICE, group.service().value()),
				TomlField.of(ConfigurationKeys.RANKS.name(), group.ranks()),
				TomlField.of(ConfigurationKeys.EXPERTS.name(), group.experts()),
				TomlField.of(ConfigurationKeys.LAYERS.name(), group.layers()),
				TomlField.of(ConfigurationKeys.SLOTS.name(), group.slotsPerRank()),
				TomlField.of(ConfigurationKeys.SKEW_WEIGHT.name(), group.weights().skewWeight()),
				TomlField.of(ConfigurationKeys.MOVE_WEIGHT.name(), group.weights().moveWeight()),
				TomlField.of(ConfigurationKeys.CHECKS_FENCING.name(), group.engineChecksFencing()));
	}

	private static ConfigurationTable table(TableDescriptor descriptor, String name, TomlField... fields) {
		return new ConfigurationTable(descriptor.name(), name, List.of(fields));
	}

	private static TomlField stringField(KeyDescriptor<?> key, String value) {
		return TomlField.of(key.name(), value);
	}

	private static TomlField listField(KeyDescriptor<?> key, Collection<String> values) {
		return TomlField.of(key.name(), values.stream().sorted().toList());
	}

}
