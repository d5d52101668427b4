package org.comfreywall.daemon.trial;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the trial command.
 */
@Parameters(commandDescription = "Runs all roles and stand-in backend servers in one process on loopback")
public final class TrialOptions {

	@Parameter(names = "--check", description = "Send one chat and one booking, print their outcomes and exit")
	private boolean check;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	/**
	 * Tells whether the trial checks itself and ends.
	 * @return {@code true} with {@code --check}
	 */
	public boolean check() {
		return this.check;
	}

	/**
	 * Tells whether help was asked for.
	 * @return {@code true} with {@code --help}
	 */
	public boolean help() {
		return this.help;
	}

}
