package org.comfreywall.daemon.standin;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/**
 * Options of the stand-in command.
 */
@Parameters(commandDescription = "Runs a fake backend server for trying out a fleet")
public final class StandInOptions {

	@Parameter(names = "--port", description = "The loopback port to listen on; 0 selects a free port")
	private int port;

	@Parameter(names = "--token-interval-ms", description = "The time between tokens in milliseconds")
	private int tokenInterval = 20;

	@Parameter(names = { "--help", "-h" }, help = true, description = "Print this help")
	private boolean help;

	int port() {
		return this.port;
	}

	int tokenInterval() {
		return this.tokenInterval;
	}

	/**
	 * Returns whether help was requested.
	 * @return {@code true} with {@code --help}
	 */
	public boolean help() {
		return this.help;
	}

}
