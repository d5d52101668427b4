package org.comfreywall.cli.init;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.Problems;
import org.comfreywall.common.toml.TomlTable;

/**
 * Parses and validates answers in TOML. A configuration file is accepted as answers
 * without instances.
 */
final class AnswersReader {

	private AnswersReader() {
	}

	static Result<Answers> read(Path file) {
		try {
			return parse(file.toString(), Files.readString(file));
		}
		catch (IOException ex) {
			return Result.failure(
					OperationError.local(ErrorCode.NOT_FOUND, Step.CONFIGURE, file + ": cannot be read as UTF-8 text ("
							+ ex.getClass().getSimpleName() + "); check that the file exists and is readable"));
		}
	}

	static Result<Answers> parse(String file, String text) {
		Problems problems = new Problems(file);
		Optional<Answers> answers = TomlTable.parse(text, AnswersKeys.DOCUMENT, problems)
			.flatMap((root) -> readAnswers(root, problems));
		return answers.map(Result::success).orElseGet(() -> Result.failure(problems.toError(Step.CONFIGURE)));
	}

	private static Optional<Answers> readAnswers(TomlTable root, Problems problems) {
		Optional<Configuration> configuration = ConfigurationReader.readSections(root, problems);
		configuration
			.ifPresent((value) -> new InstanceRules(problems, value).validate(root.tables(AnswersKeys.INSTANCE)));
		if (!problems.isEmpty()) {
			return Optional.empty();
		}
		return configuration.map((value) -> new Answers(value,
				root.tables(AnswersKeys.INSTANCE).stream().map(AnswersReader::readInstance).toList()));
	}

	private static InstanceAnswers readInstance(TomlTable table) {
		return new InstanceAnswers(table.value(AnswersKeys.NAME), table.value(AnswersKeys.FAILURE_DOMAIN),
				table.value(AnswersKeys.ADDRESS), table.value(AnswersKeys.ROLES), table.value(AnswersKeys.ADMIN_LISTEN),
				table.value(AnswersKeys.ENTRY_PORT), table.value(AnswersKeys.SIDECAR_PORT),
				table.value(AnswersKeys.CONTROL_PORT), table.value(AnswersKeys.DATA_FOLDER),
				table.find(AnswersKeys.SERVICE), table.value(AnswersKeys.BACKEND), table.value(AnswersKeys.ENGINE_ROLE),
				table.value(AnswersKeys.ENGINE_CHECKS_FENCING), table.find(AnswersKeys.TLS_FOLDER));
	}

}
