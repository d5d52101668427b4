package org.comfreywall.common.config.toml;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.config.GroupDescriptor;
import org.comfreywall.common.config.PlacementWeights;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.GroupId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.Problems;
import org.comfreywall.common.toml.TomlTable;
import org.comfreywall.common.util.Preconditions;

/**
 * Reads and validates a configuration in TOML.
 */
public final class ConfigurationReader {

	private ConfigurationReader() {
	}

	/**
	 * Reads the configuration in a file.
	 * @param file the file
	 * @return the configuration, or an error with one line per problem, each with the
	 * file, key, value and allowed values
	 */
	public static Result<Configuration> read(Path file) {
		Preconditions.notNull(file, "file");
		try {
			return parse(file.toString(), Files.readString(file));
		}
		catch (IOException ex) {
			return Result.failure(
					OperationError.local(ErrorCode.NOT_FOUND, Step.CONFIGURE, file + ": cannot be read as UTF-8 text ("
							+ ex.getClass().getSimpleName() + "); check that the file exists and is readable"));
		}
	}

	/**
	 * Reads a configuration from text.
	 * @param file the name of the file that the text is from
	 * @param text the configuration in TOML
	 * @return the configuration, or an error with one line per problem, each with the
	 * file, key, value and allowed values
	 */
	public static Result<Configuration> parse(String file, String text) {
		Problems problems = new Problems(file);
		Optional<Configuration> configuration = TomlTable.parse(text, ConfigurationKeys.DOCUMENT, problems)
			.flatMap((root) -> readSections(root, problems));
		return configuration.map(Result::success).orElseGet(() -> Result.failure(problems.toError(Step.CONFIGURE)));
	}

	/**
	 * Reads the configuration's sections of a document that may also have other sections.
	 * @param root the document
	 * @param problems collects the problems found
	 * @return the configuration, or empty if it is invalid
	 */
	public static Optional<Configuration> readSections(TomlTable root, Problems problems) {
		new ConfigurationRules(problems).validate(root);
		return problems.isEmpty() ? Optional.of(configuration(root)) : Optional.empty();
	}

	private static Configuration configuration(TomlTable root) {
		return new Configuration(
				root.tables(ConfigurationKeys.FAILURE_DOMAIN).stream().map(ConfigurationReader::failureDomain).toList(),
				root.tables(ConfigurationKeys.SERVICE).stream().map(ConfigurationReader::service).toList(),
				root.tables(ConfigurationKeys.ACCOUNT).stream().map(ConfigurationReader::account).toList(),
				root.tables(ConfigurationKeys.GROUP).stream().map(ConfigurationReader::group).toList());
	}

	private static FailureDomainDescriptor failureDomain(TomlTable table) {
		return new FailureDomainDescriptor(FailureDomainId.of(table.value(ConfigurationKeys.DOMAIN_NAME)),
				table.value(ConfigurationKeys.REGION));
	}

	private static ServiceDescriptor service(TomlTable table) {
		return new ServiceDescriptor(ServiceId.of(table.value(ConfigurationKeys.SERVICE_NAME)),
				table.value(ConfigurationKeys.KIND), table.value(ConfigurationKeys.PATH_PREFIX),
				table.value(ConfigurationKeys.IDEMPOTENT_REQUESTS), table.value(ConfigurationKeys.KEY_REQUIRED));
	}

	private static AccountDescriptor account(TomlTable table) {
		AccountLimits limits = new AccountLimits(table.value(ConfigurationKeys.REQUESTS),
				table.value(ConfigurationKeys.TOKENS), table.value(ConfigurationKeys.IN_FLIGHT));
		return new AccountDescriptor(AccountId.of(table.value(ConfigurationKeys.ACCOUNT_NAME)),
				table.value(ConfigurationKeys.KEY_HASHES), limits, table.value(ConfigurationKeys.HIGHEST_CLASS),
				table.value(ConfigurationKeys.SERVICES).stream().map(ServiceId::of).toList());
	}

	private static GroupDescriptor group(TomlTable table) {
		PlacementWeights weights = new PlacementWeights(table.value(ConfigurationKeys.SKEW_WEIGHT),
				table.value(ConfigurationKeys.MOVE_WEIGHT));
		return new GroupDescriptor(GroupId.of(table.value(ConfigurationKeys.GROUP_NAME)),
				ServiceId.of(table.value(ConfigurationKeys.GROUP_SERVICE)), table.value(ConfigurationKeys.RANKS),
				table.value(ConfigurationKeys.EXPERTS), table.value(ConfigurationKeys.LAYERS),
				table.value(ConfigurationKeys.SLOTS), weights, table.value(ConfigurationKeys.CHECKS_FENCING));
	}

}
