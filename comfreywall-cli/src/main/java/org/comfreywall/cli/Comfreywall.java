package org.comfreywall.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.logging.Level;
import java.util.logging.Logger;

import org.comfreywall.cli.command.Console;

/**
 * Entry point of the command-line tool for operators.
 */
public final class Comfreywall {

	/**
	 * Loggers that are turned off because the commands report these errors themselves.
	 * The references keep the loggers and their levels from being garbage-collected.
	 */
	private static final List<Logger> LIBRARY_LOGGERS = List.of(Logger.getLogger("io.vertx"),
			Logger.getLogger("io.netty"));

	private Comfreywall() {
	}

	/**
	 * Runs one command and exits with its exit code.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		LIBRARY_LOGGERS.forEach((logger) -> logger.setLevel(Level.OFF));
		PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
		PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
		BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
		Console console = new Console(in, out, err, (name) -> Optional.ofNullable(System.getenv(name)));
		System.exit(new CommandLine(console).run(args).number());
	}

}
