package org.comfreywall.daemon.run;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the run command.
 */
@Parameters(commandDescription = "Runs the roles enabled in the settings until the process is stopped")
public final class RunOptions {

	@Parameter(names = "--settings", description = "The settings file", required = true)
	private String settingsFile;

	@Parameter(names = "--found",
			description = "Bootstrap the replicated log from an empty data folder, together with all peers; "
					+ "use it only once, when the fleet is first set up")
	private boolean bootstrap;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	String settingsFile() {
		return this.settingsFile;
	}

	boolean bootstrap() {
		return this.bootstrap;
	}

	/**
	 * Returns whether help was requested.
	 * @return {@code true} with {@code --help}
	 */
	public boolean help() {
		return this.help;
	}

}
