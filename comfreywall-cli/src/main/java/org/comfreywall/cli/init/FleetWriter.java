package org.comfreywall.cli.init;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.command.DiffFormatter;
import org.comfreywall.cli.command.Report;
import org.comfreywall.cli.command.TextFiles;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationChange;
import org.comfreywall.common.config.toml.ConfigurationDiff;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;

/**
 * Writes the files generated from answers and reports the configuration changes.
 */
final class FleetWriter {

	private final Path folder;

	private final Configuration base;

	FleetWriter(Path folder, Configuration base) {
		this.folder = folder;
		this.base = base;
	}

	Result<Report> write(Answers answers, List<ApiKey> keys) {
		return FleetGenerator.generate(answers).flatMap((files) -> {
			try {
				for (GeneratedFile file : files) {
					TextFiles.write(this.folder.resolve(file.path()), file.text());
				}
				return Result.success(report(answers, files, keys, findObsolete(files)));
			}
			catch (IOException ex) {
				return Result
					.failure(OperationError.local(ErrorCode.STORAGE, Step.STORE, "cannot write to " + this.folder + " ("
							+ ex + "); check the folder's permissions and space, then run init again"));
			}
		});
	}

	private List<String> findObsolete(List<GeneratedFile> files) throws IOException {
		Path settings = this.folder.resolve(FleetGenerator.SETTINGS);
		List<String> obsolete = new ArrayList<>();
		if (Files.isDirectory(settings)) {
			try (DirectoryStream<Path> present = Files.newDirectoryStream(settings, "*.toml")) {
				present.forEach((path) -> obsolete.add(this.folder.relativize(path).toString()));
			}
		}
		files.forEach((file) -> obsolete.remove(file.path().toString()));
		obsolete.sort(null);
		return obsolete;
	}

	private Report report(Answers answers, List<GeneratedFile> files, List<ApiKey> keys, List<String> obsolete) {
		List<ConfigurationChange> changes = ConfigurationDiff.between(this.base, answers.configuration());
		List<String> lines = new ArrayList<>();
		lines.add("wrote " + files.size() + " files to " + this.folder);
		obsolete.forEach((file) -> lines
			.add("no longer generated: " + file + "; drain its instance, stop it, then remove the file"));
		lines.add(changes.isEmpty() ? "the configuration is unchanged" : "changes of the configuration:");
		lines.addAll(DiffFormatter.lines(changes));
		keys.forEach((key) -> lines.add("API key of " + key.account() + ", shown only now: " + key.secret()));
		lines.add(nextStep());
		JsonObject json = new JsonObject()
			.put("files", new JsonArray(files.stream().map((file) -> file.path().toString()).toList()))
			.put("leftover", new JsonArray(obsolete))
			.put("changes", DiffFormatter.json(changes))
			.put("keys", new JsonArray(keys.stream().map(FleetWriter::json).toList()));
		return Report.ok(lines, json);
	}

	private String nextStep() {
		Path configuration = this.folder.resolve(FleetGenerator.CONFIGURATION);
		return "next: start comfreywalld on each instance with its settings file in "
				+ this.folder.resolve(FleetGenerator.SETTINGS) + ", then run comfreywall apply --wait " + configuration;
	}

	private static JsonObject json(ApiKey key) {
		return new JsonObject().put("account", key.account().value()).put("key", key.secret());
	}

}
