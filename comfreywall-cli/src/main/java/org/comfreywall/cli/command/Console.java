package org.comfreywall.cli.command;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Optional;
import java.util.function.Function;

/**
 * The process's streams and environment.
 *
 * @param in what the operator types
 * @param out results
 * @param err prompts, notes and errors
 * @param environment looks up environment variables
 */
public record Console(BufferedReader in, PrintStream out, PrintStream err,
		Function<String, Optional<String>> environment) {

	/**
	 * Prints a note beside the results.
	 * @param line the note
	 */
	public void note(String line) {
		this.err.println(line);
	}

	/**
	 * Asks for a line.
	 * @param prompt the prompt
	 * @return the line without blanks around it
	 * @throws EOFException if the input has ended
	 * @throws IOException if the input cannot be read
	 */
	public String ask(String prompt) throws IOException {
		this.err.print(prompt);
		this.err.flush();
		String line = this.in.readLine();
		if (line == null) {
			throw new EOFException("the input ended");
		}
		return line.strip();
	}

}
