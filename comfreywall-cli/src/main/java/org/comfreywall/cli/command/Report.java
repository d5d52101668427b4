package org.comfreywall.cli.command;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.comfreywall.common.util.Preconditions;

/**
 * What a command has to say, for people and for programs.
 *
 * @param exit the exit code
 * @param lines the report for people
 * @param json the report for programs
 */
public record Report(ExitCode exit, List<String> lines, JsonObject json) {

	public Report {
		Preconditions.notNull(exit, "exit");
		lines = List.copyOf(lines);
		json = json.copy();
	}

	/**
	 * Creates the report of a command that did what it was asked.
	 * @param lines the report for people
	 * @param json the report for programs
	 * @return the report
	 */
	public static Report ok(List<String> lines, JsonObject json) {
		return new Report(ExitCode.OK, lines, json);
	}

}
