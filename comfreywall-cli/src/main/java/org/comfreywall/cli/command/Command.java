package org.comfreywall.cli.command;

import org.comfreywall.common.result.Result;

/**
 * A subcommand; JCommander sets its annotated option fields before it runs.
 */
public interface Command {

	/**
	 * Returns the options that all commands share.
	 * @return the options
	 */
	CommonOptions options();

	/**
	 * Runs the command.
	 * @param console the process's streams and environment
	 * @return the report, or the error that aborted the command
	 * @throws com.beust.jcommander.ParameterException if the options are invalid or
	 * contradict each other
	 */
	Result<Report> run(Console console);

}
