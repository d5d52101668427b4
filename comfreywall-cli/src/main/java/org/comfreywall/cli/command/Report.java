package org.comfreywall.cli.command;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.util.Preconditions;

/**
 * Result of a command, as text and as JSON.
 *
 * @param exit the exit code
 * @param lines the lines of text
 * @param json the same result for {@code --json}
 */
public record Report(ExitCode exit, List<String> lines, JsonObject json) {

	public Report {
		Preconditions.notNull(exit, "exit");
		lines = List.copyOf(lines);
		json = json.copy();
	}

	/**
	 * Creates the report of a successful command.
	 * @param lines the lines of text
	 * @param json the same result for {@code --json}
	 * @return the report
	 */
	public static Report ok(List<String> lines, JsonObject json) {
		return new Report(ExitCode.OK, lines, json);
	}

}
