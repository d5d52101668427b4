package org.comfreywall.cli.command;

import org.comfreywall.common.result.ErrorCode;

/**
 * Exit codes of the command-line tool.
 */
public enum ExitCode {

	/** The command succeeded. */
	OK(0),
	/** The request was rejected or the command failed. */
	FAILED(1),
	/** The command line is invalid. */
	USAGE(2),
	/** The daemon cannot be reached or did not respond in time. */
	UNREACHABLE(3),
	/** Another change was accepted first. */
	CONFLICT(4);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the exit status
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Maps an error to an exit code.
	 * @param code the error code
	 * @return the exit code
	 */
	public static ExitCode of(ErrorCode code) {
		return switch (code) {
			case UNAVAILABLE, DEADLINE_EXCEEDED, CONNECTION_LOST -> UNREACHABLE;
			case CONFLICT -> CONFLICT;
			default -> FAILED;
		};
	}

}
