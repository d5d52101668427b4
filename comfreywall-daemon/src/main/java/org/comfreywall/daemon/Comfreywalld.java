package org.comfreywall.daemon;

import java.util.logging.Level;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.comfreywall.common.log.LogSetup;
import org.comfreywall.daemon.trial.TrialCommand;
import org.comfreywall.daemon.trial.TrialOptions;

/**
 * The daemon's entry point.
 */
public final class Comfreywalld {

	private static final int USAGE = 2;

	private Comfreywalld() {
	}

	/**
	 * Runs the daemon or the trial.
	 * @param args the command line
	 * @throws Exception if the process cannot start
	 */
	public static void main(String[] args) throws Exception {
		LogSetup.install(Level.INFO);
		System.exit(run(args));
	}

	private static int run(String[] args) throws Exception {
		TrialOptions trial = new TrialOptions();
		JCommander commander = JCommander.newBuilder().programName("comfreywalld").addCommand("trial", trial).build();
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage() + "; see comfreywalld trial --help");
			return USAGE;
		}
		if (commander.getParsedCommand() == null || trial.help()) {
			commander.usage();
			return trial.help() ? 0 : USAGE;
		}
		return TrialCommand.run(trial);
	}

}
