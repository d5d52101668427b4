package org.comfreywall.cli;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.command.Console;
import org.comfreywall.cli.command.ExitCode;

/**
 * Result of one run of the command line in a test.
 *
 * @param exit the exit code
 * @param out the text printed to the standard output
 * @param err the text printed to the standard error
 */
public record CommandRun(ExitCode exit, String out, String err) {

	/**
	 * Runs a command line without input.
	 * @param args the command line
	 * @return the run
	 */
	public static CommandRun of(String... args) {
		return withInput("", args);
	}

	/**
	 * Runs a command line with input.
	 * @param input the text of the standard input
	 * @param args the command line
	 * @return the run
	 */
	public static CommandRun withInput(String input, String... args) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		ByteArrayOutputStream err = new ByteArrayOutputStream();
		Console console = new Console(new BufferedReader(new StringReader(input)),
				new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8),
				(name) -> Optional.empty());
		ExitCode exit = new CommandLine(console).run(args);
		return new CommandRun(exit, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
	}

	/**
	 * Parses the standard output as JSON.
	 * @return the object
	 */
	public JsonObject json() {
		return new JsonObject(this.out);
	}

}
