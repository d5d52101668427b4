package org.comfreywall.cli.init;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.result.Result;

/**
 * Checks answers without generating anything.
 */
public final class AnswersCheck {

	private AnswersCheck() {
	}

	/**
	 * Checks answers.
	 * @param file the name of the file that the text is from
	 * @param text the answers in TOML
	 * @return the configuration that they describe, or an error with one line a fault
	 */
	public static Result<Configuration> parse(String file, String text) {
		return AnswersReader.parse(file, text).map(Answers::configuration);
	}

}
