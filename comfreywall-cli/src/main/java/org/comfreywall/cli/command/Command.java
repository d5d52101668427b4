package org.comfreywall.cli.command;

import org.comfreywall.common.result.Result;

/**
 * A sub-command with its options, which JCommander fills in.
 */
public interface Command {

	/**
	 * Returns the options that every command has.
	 * @return the options
	 */
	CommonOptions options();

	/**
	 * Runs the command.
	 * @param console the process's streams and environment
	 * @return the report, or the error that ended the command
	 * @throws com.beust.jcommander.ParameterException if the options do not fit together
	 */
	Result<Report> run(Console console);

}
