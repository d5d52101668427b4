package org.comfreywall.daemon.run;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the run command.
 */
@Parameters(commandDescription = "Runs the roles that the settings name until the process is stopped")
public final class RunOptions {

	@Parameter(names = "--settings", description = "The settings file", required = true)
	private String settings;

	@Parameter(names = "--found",
			description = "Let an empty data folder found the replicated log together with all peers; "
					+ "use it once, when the fleet is set up")
	private boolean found;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	String settings() {
		return this.settings;
	}

	boolean found() {
		return this.found;
	}

	/**
	 * Tells whether help was asked for.
	 * @return {@code true} with {@code --help}
	 */
	public boolean help() {
		return this.help;
	}

}
