package org.comfreywall.cli.init;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.comfreywall.cli.admin.AdminClient;
import org.comfreywall.cli.command.AdminOptions;
import org.comfreywall.cli.command.AdminSession;
import org.comfreywall.cli.command.Command;
import org.comfreywall.cli.command.CommonOptions;
import org.comfreywall.cli.command.Console;
import org.comfreywall.cli.command.Report;
import org.comfreywall.cli.command.TextFiles;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;

/**
 * Generates a fleet's configuration and settings from answers that are read from a file
 * or asked on the terminal.
 */
@Parameters(commandDescription = "Generate configuration and settings files from an answers file or a questionnaire")
public final class InitCommand implements Command {

	private static final Path REJECTED = Path.of("answers.rejected.toml");

	@ParametersDelegate
	private final CommonOptions options = new CommonOptions();

	@ParametersDelegate
	private final AdminOptions admin = new AdminOptions();

	@Parameter(names = "--out", description = "Folder for answers.toml, configuration.toml and settings/",
			required = true)
	private String out;

	@Parameter(names = "--answers", description = "Answers file; without it, the questions are asked on the terminal")
	private String answers;

	@Parameter(names = "--previous",
			description = "Answers or configuration file with values to propose; default: answers.toml in --out, if it exists")
	private String previous;

	@Parameter(names = "--against",
			description = "Configuration file to compare with; default: configuration.toml in --out, if it exists")
	private String against;

	@Parameter(names = "--against-fleet", description = "Compare with the current configuration of the running fleet")
	private boolean againstFleet;

	@Override
	public CommonOptions options() {
		return this.options;
	}

	@Override
	public Result<Report> run(Console console) {
		if (this.against != null && this.againstFleet) {
			throw new ParameterException("--against and --against-fleet exclude each other");
		}
		if (this.answers != null && this.previous != null) {
			throw new ParameterException(
					"--answers and --previous exclude each other: an answers file contains every answer");
		}
		Path folder = Path.of(this.out);
		ApiKeyGenerator keys = new ApiKeyGenerator(new SecureRandom());
		return readBase(folder, console).flatMap((base) -> readOrAsk(folder, console).map(keys::addMissingKeys)
			.flatMap((complete) -> new FleetWriter(folder, base).write(complete, keys.generatedKeys())));
	}

	private Result<Configuration> readBase(Path folder, Console console) {
		if (this.againstFleet) {
			return AdminSession.withClient(this.admin, console, AdminClient::configuration)
				.flatMap((current) -> ConfigurationReader.parse("revision " + current.revision(),
						current.configuration()));
		}
		Path current = folder.resolve(FleetGenerator.CONFIGURATION);
		if (this.against != null) {
			return ConfigurationReader.read(Path.of(this.against));
		}
		return Files.exists(current) ? ConfigurationReader.read(current) : Result.success(Configuration.EMPTY);
	}

	private Result<Answers> readOrAsk(Path folder, Console console) {
		if (this.answers != null) {
			return AnswersReader.read(Path.of(this.answers));
		}
		return readPrevious(folder).flatMap((earlier) -> ask(console, earlier, folder));
	}

	private Result<Answers> readPrevious(Path folder) {
		Path defaultFile = folder.resolve(FleetGenerator.ANSWERS);
		Optional<Path> file = Optional.ofNullable(this.previous)
			.map(Path::of)
			.or(() -> Optional.of(defaultFile).filter(Files::exists));
		return file.map(AnswersReader::read).orElseGet(() -> Result.success(Answers.EMPTY));
	}

	private static Result<Answers> ask(Console console, Answers earlier, Path folder) {
		try {
			String text = new Questionnaire(console, earlier).askAll();
			Result<Answers> answers = AnswersReader.parse(REJECTED.toString(), text);
			return answers.error()
				.map((error) -> Result.<Answers>failure(saveRejected(folder, text, error)))
				.orElse(answers);
		}
		catch (IOException ex) {
			return Result
				.failure(OperationError.local(ErrorCode.INVALID_INPUT, Step.CONFIGURE, "the answers are incomplete ("
						+ ex.getMessage() + "); nothing was written; run init again or give --answers FILE"));
		}
	}

	private static OperationError saveRejected(Path folder, String text, OperationError error) {
		Path file = folder.resolve(REJECTED);
		try {
			TextFiles.write(file, text);
			return OperationError.local(error.code(), error.step(),
					error.message() + "\nthe answers are saved: correct " + file + " and give it with --answers");
		}
		catch (IOException ex) {
			return error;
		}
	}

}
