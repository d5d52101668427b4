package org.comfreywall.cli.init;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.config.toml.ConfigurationWriter;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.settings.SettingsReader;

/**
 * Generates the answers file, the configuration and the settings of every instance, and
 * parses each generated file to verify that it is valid.
 */
final class FleetGenerator {

	static final Path CONFIGURATION = Path.of("configuration.toml");

	static final Path ANSWERS = Path.of("answers.toml");

	static final Path SETTINGS = Path.of("settings");

	private FleetGenerator() {
	}

	static Result<List<GeneratedFile>> generate(Answers answers) {
		List<GeneratedFile> files = new ArrayList<>();
		files.add(new GeneratedFile(ANSWERS, AnswersWriter.write(answers)));
		files.add(new GeneratedFile(CONFIGURATION, ConfigurationWriter.write(answers.configuration())));
		SettingsGenerator settings = new SettingsGenerator(answers);
		answers.instances()
			.forEach((instance) -> files
				.add(new GeneratedFile(SETTINGS.resolve(instance.name() + ".toml"), settings.generate(instance))));
		Optional<OperationError> error = files.stream().flatMap((file) -> validate(file).stream()).findFirst();
		return error.map(Result::<List<GeneratedFile>>failure).orElseGet(() -> Result.success(List.copyOf(files)));
	}

	private static Optional<OperationError> validate(GeneratedFile file) {
		String name = file.path().toString();
		if (file.path().equals(ANSWERS)) {
			return AnswersReader.parse(name, file.text()).error();
		}
		return file.path().equals(CONFIGURATION) ? ConfigurationReader.parse(name, file.text()).error()
				: SettingsReader.parse(name, file.text()).error();
	}

}
