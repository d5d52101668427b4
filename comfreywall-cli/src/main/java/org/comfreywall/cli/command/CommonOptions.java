package org.comfreywall.cli.command;

import com.beust.jcommander.Parameter;

/**
 * Options that all commands share.
 */
public final class CommonOptions {

	@Parameter(names = "--json", description = "Print the result as one JSON object")
	private boolean json;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	/**
	 * Returns whether the result is printed as JSON.
	 * @return {@code true} if {@code --json} was given
	 */
	public boolean json() {
		return this.json;
	}

	/**
	 * Returns whether only the help text is printed.
	 * @return {@code true} if {@code --help} or {@code -h} was given
	 */
	public boolean help() {
		return this.help;
	}

}
