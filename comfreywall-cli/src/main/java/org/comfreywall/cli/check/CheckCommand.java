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
 * Checks settings, configurations and answers without a running fleet.
 */
@Parameters(commandDescription = "Check settings, configuration and answers files, alone and together")
public final class CheckCommand implements Command {

	@ParametersDelegate
	private final CommonOptions options = new CommonOptions();

	@Parameter(description = "FILES")
	private List<String> files = new ArrayList<>();

	@Parameter(names = "--reference", description = "Print the reference of all keys as Markdown")
	private boolean reference;

	@Override
	public CommonOptions options() {
		return this.options;
	}

	@Override
	public Result<Report> run(Console console) {
		if (this.reference) {
			return Result.success(reference());
		}
		if (this.files.isEmpty()) {
			throw new ParameterException("Name at least one file to check, or give --reference");
		}
		List<CheckedDocument> documents = this.files.stream().map(Path::of).map(DocumentChecker::check).toList();
		return Result.success(report(documents, together(documents)));
	}

	private static Report reference() {
		String settings = ReferenceWriter.write(SettingsKeys.DOCUMENT);
		String configuration = ReferenceWriter.write(ConfigurationKeys.DOCUMENT);
		return Report.ok((settings + configuration).lines().toList(),
				new JsonObject().put("settings", settings).put("configuration", configuration));
	}

	private static List<String> together(List<CheckedDocument> documents) {
		FleetRules rules = new FleetRules(
				documents.stream().flatMap((document) -> document.configuration().stream()).findFirst());
		return rules.check(documents).stream().map(Problem::toString).toList();
	}

	private static Report report(List<CheckedDocument> documents, List<String> together) {
		List<String> lines = new ArrayList<>();
		documents.forEach((document) -> lines.addAll(lines(document)));
		lines.addAll(together);
		boolean faultless = together.isEmpty()
				&& documents.stream().allMatch((document) -> document.faults().isEmpty());
		if (!faultless) {
			lines.add("next: mend the lines above and check again; docs/operators/settings.md lists every key");
		}
		JsonObject json = new JsonObject()
			.put("files", new JsonArray(documents.stream().map(CheckCommand::json).toList()))
			.put("together", new JsonArray(together));
		return new Report(faultless ? ExitCode.OK : ExitCode.FAILED, lines, json);
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
