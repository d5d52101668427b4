package org.comfreywall.cli.command;

import java.time.Duration;

import com.beust.jcommander.ParameterException;
import org.comfreywall.common.toml.Quantities;

/**
 * Parses durations given as command-line options.
 */
final class DurationOption {

	private DurationOption() {
	}

	static Duration parse(String option, String text) {
		return Quantities.parseDuration(text)
			.filter((duration) -> !duration.isZero())
			.orElseThrow(() -> new ParameterException(option + " \"" + text
					+ "\" is not a duration; allowed: a number above 0 and ms, s, m or h, such as 2s"));
	}

}
