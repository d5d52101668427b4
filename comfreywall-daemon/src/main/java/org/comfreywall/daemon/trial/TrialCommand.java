package org.comfreywall.daemon.trial;

import java.time.Duration;

/**
 * The trial command.
 */
public final class TrialCommand {

	private static final Duration TOKEN_INTERVAL = Duration.ofMillis(20);

	private TrialCommand() {
	}

	/**
	 * Starts the trial and either checks it or runs until the process is stopped.
	 * @param options the options given on the command line
	 * @return the exit code
	 * @throws Exception if the trial cannot start
	 */
	public static int run(TrialOptions options) throws Exception {
		try (Trial trial = new Trial(TOKEN_INTERVAL)) {
			System.out.println("ready entry=" + trial.entry());
			if (options.check()) {
				return new TrialCheck(trial.entry()).run() ? 0 : 1;
			}
			Thread.currentThread().join();
			return 0;
		}
	}

}
