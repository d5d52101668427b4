package org.comfreywall.cli.command;

import com.beust.jcommander.Parameter;

/**
 * Options that every command has.
 */
public final class CommonOptions {

	@Parameter(names = "--json", description = "Print one JSON object for programs")
	private boolean json;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	/**
	 * Tells whether output is for programs.
	 * @return {@code true} if JSON was asked for
	 */
	public boolean json() {
		return this.json;
	}

	/**
	 * Tells whether help was asked for.
	 * @return {@code true} if only help is to be printed
	 */
	public boolean help() {
		return this.help;
	}

}
