package org.comfreywall.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.comfreywall.cli.command.Console;

/**
 * The command-line tool for operators.
 */
public final class Comfreywall {

	private Comfreywall() {
	}

	/**
	 * Runs one command and exits with its exit code.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
		PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
		BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
		Console console = new Console(in, out, err, (name) -> Optional.ofNullable(System.getenv(name)));
		System.exit(new CommandLine(console).run(args).number());
	}

}
