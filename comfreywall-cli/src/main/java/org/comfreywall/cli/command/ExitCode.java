package org.comfreywall.cli.command;

import org.comfreywall.common.result.ErrorCode;

/**
 * Exit codes of the command-line tool.
 */
public enum ExitCode {

	/** Done. */
	OK(0),
	/** Refused or failed. */
	FAILED(1),
	/** The command line is wrong. */
	USAGE(2),
	/** The daemon cannot be reached or did not answer in time. */
	UNREACHABLE(3),
	/** Another change came first. */
	CONFLICT(4);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the number that the process exits with.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Chooses the exit code for an error.
	 * @param code the kind of error
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
