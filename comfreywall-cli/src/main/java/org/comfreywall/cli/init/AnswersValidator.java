package org.comfreywall.cli.init;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.result.Result;

/**
 * Validates answers files without generating files.
 */
public final class AnswersValidator {

	private AnswersValidator() {
	}

	/**
	 * Parses and validates answers.
	 * @param file the file name for error messages
	 * @param text the answers in TOML
	 * @return the configuration that they describe, or an error with one line for each
	 * fault
	 */
	public static Result<Configuration> parse(String file, String text) {
		return AnswersReader.parse(file, text).map(Answers::configuration);
	}

}
