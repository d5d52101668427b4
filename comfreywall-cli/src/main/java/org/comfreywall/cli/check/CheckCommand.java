package org.comfreywall.cli.check;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.command.Command;
import org.comfreywall.cli.command.CommonOptions;
import org.comfreywall.cli.command.Console;
import org.comfreywall.cli.command.ExitCode;
import org.comfreywall.cli.command.Report;
import org.comfreywall.common.config.toml.ConfigurationKeys;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.settings.SettingsKeys;
import org.comfreywall.common.toml.Problem;
import org.comfreywall.common.toml.ReferenceWriter;
import org.comfreywall.common.toml.ValueTypes;

/**
 * Validates settings, configuration and answers files without a running fleet.
 */
@Parameters(
		commandDescription = "Validate settings, configuration and answers files, each alone and against each other")
public final class CheckCommand implements Command {

	@ParametersDelegate
	private final CommonOptions options = new CommonOptions();

	@Parameter(description = "FILES")
	private List<String> files = new ArrayList<>();

	@Parameter(names = "--reference", description = "Print a Markdown reference of all settings and configuration keys")
	private boolean reference;

	@Override
	public CommonOptions options() {
		return this.options;
	}

	@Override
	public Result<Report> run(Console console) {
		if (this.reference) {
			return Result.success(referenceReport());
		}
		if (this.files.isEmpty()) {
			throw new ParameterException("at least one file, or --reference, is required");
		}
		List<CheckedDocument> documents = this.files.stream().map(Path::of).map(DocumentChecker::check).toList();
		return Result.success(report(documents, crossCheck(documents)));
	}

	private static Report referenceReport() {
		String settings = ReferenceWriter.write(SettingsKeys.DOCUMENT);
		String configuration = ReferenceWriter.write(ConfigurationKeys.DOCUMENT);
		return Report.ok((settings + configuration).lines().toList(),
				new JsonObject().put("settings", settings).put("configuration", configuration));
	}

	private static List<String> crossCheck(List<CheckedDocument> documents) {
		FleetRules rules = new FleetRules(
				documents.stream().flatMap((document) -> document.configuration().stream()).findFirst());
		return rules.validate(documents).stream().map(Problem::toString).toList();
	}

	private static Report report(List<CheckedDocument> documents, List<String> together) {
		List<String> lines = new ArrayList<>();
		documents.forEach((document) -> lines.addAll(lines(document)));
		lines.addAll(together);
		boolean valid = together.isEmpty() && documents.stream().allMatch((document) -> document.faults().isEmpty());
		if (!valid) {
			lines.add("next: correct the values above and run check again; docs/operators/settings.md lists every key");
		}
		JsonObject json = new JsonObject()
			.put("files", new JsonArray(documents.stream().map(CheckCommand::json).toList()))
			.put("together", new JsonArray(together));
		return new Report(valid ? ExitCode.OK : ExitCode.FAILED, lines, json);
	}

	private static List<String> lines(CheckedDocument document) {
		return document.faults().isEmpty()
				? List.of(document.file() + ": " + ValueTypes.lowerCase(document.kind()) + ", no fault")
				: document.faults();
	}

	private static JsonObject json(CheckedDocument document) {
		return new JsonObject().put("file", document.file())
			.put("kind", ValueTypes.lowerCase(document.kind()))
			.put("faults", new JsonArray(document.faults()));
	}

}
