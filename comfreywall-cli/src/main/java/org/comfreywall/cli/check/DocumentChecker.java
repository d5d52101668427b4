package org.comfreywall.cli.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.comfreywall.cli.init.AnswersValidator;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.toml.ConfigurationReader;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.settings.InstanceSettings;
import org.comfreywall.common.settings.SettingsReader;

/**
 * Validates one document on its own, without cross-references to other documents.
 */
final class DocumentChecker {

	private DocumentChecker() {
	}

	static CheckedDocument check(Path path) {
		String file = path.toString();
		try {
			return check(file, Files.readString(path));
		}
		catch (IOException ex) {
			String error = file + ": cannot be read as UTF-8 text (" + ex.getClass().getSimpleName()
					+ "); check that the file exists and is readable";
			return new CheckedDocument(file, DocumentKind.CONFIGURATION, List.of(error), Optional.empty(),
					Optional.empty());
		}
	}

	private static CheckedDocument check(String file, String text) {
		DocumentKind kind = DocumentKind.detect(text);
		return switch (kind) {
			case SETTINGS -> checkSettings(file, SettingsReader.parse(file, text));
			case CONFIGURATION -> checkConfiguration(file, kind, ConfigurationReader.parse(file, text));
			case ANSWERS -> checkConfiguration(file, kind, AnswersValidator.parse(file, text));
		};
	}

	private static CheckedDocument checkSettings(String file, Result<InstanceSettings> result) {
		return new CheckedDocument(file, DocumentKind.SETTINGS, faults(result), result.value(), Optional.empty());
	}

	private static CheckedDocument checkConfiguration(String file, DocumentKind kind, Result<Configuration> result) {
		return new CheckedDocument(file, kind, faults(result), Optional.empty(), result.value());
	}

	private static List<String> faults(Result<?> result) {
		return result.error().map((error) -> error.message().lines().toList()).orElse(List.of());
	}

}
