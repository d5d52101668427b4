package org.comfreywall.daemon.trial;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the trial command.
 */
@Parameters(commandDescription = "Runs an entry, sidecars and fake backend servers in one process on loopback")
public final class TrialOptions {

	@Parameter(names = "--check", description = "Send one chat and one booking, print their outcomes and exit")
	private boolean check;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	/**
	 * Returns whether to check the trial and exit.
	 * @return {@code true} with {@code --check}
	 */
	public boolean check() {
		return this.check;
	}

	/**
	 * Returns whether help was requested.
	 * @return {@code true} with {@code --help}
	 */
	public boolean help() {
		return this.help;
	}

}
