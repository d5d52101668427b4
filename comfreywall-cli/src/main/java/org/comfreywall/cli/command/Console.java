package org.comfreywall.cli.command;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Optional;
import java.util.function.Function;

/**
 * Standard streams and environment variables of the process.
 *
 * @param in the standard input
 * @param out the standard output, for results
 * @param err the standard error, for prompts, notes and errors
 * @param environment the lookup of environment variables by name
 */
public record Console(BufferedReader in, PrintStream out, PrintStream err,
		Function<String, Optional<String>> environment) {

	/**
	 * Prints a line to the standard error, so that the standard output holds only
	 * results.
	 * @param line the note
	 */
	public void printNote(String line) {
		this.err.println(line);
	}

	/**
	 * Prints a prompt and reads a line.
	 * @param prompt the prompt
	 * @return the line without leading and trailing white space
	 * @throws EOFException if the input has ended
	 * @throws IOException if the input cannot be read
	 */
	public String readAnswer(String prompt) throws IOException {
		this.err.print(prompt);
		this.err.flush();
		String line = this.in.readLine();
		if (line == null) {
			throw new EOFException("the input ended");
		}
		return line.strip();
	}

}
