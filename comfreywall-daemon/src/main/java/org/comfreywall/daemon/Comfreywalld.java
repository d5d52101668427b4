package org.comfreywall.daemon;

import java.util.logging.Level;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.comfreywall.common.log.LogSetup;
import org.comfreywall.daemon.run.RunCommand;
import org.comfreywall.daemon.run.RunOptions;
import org.comfreywall.daemon.standin.StandInCommand;
import org.comfreywall.daemon.standin.StandInOptions;
import org.comfreywall.daemon.trial.TrialCommand;
import org.comfreywall.daemon.trial.TrialOptions;

/**
 * The daemon's entry point.
 */
public final class Comfreywalld {

	private static final int FAILED = 1;

	private static final int USAGE = 2;

	private Comfreywalld() {
	}

	/**
	 * Runs the daemon or the trial.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		LogSetup.install(Level.INFO);
		System.exit(exitCode(args));
	}

	private static int exitCode(String[] args) {
		try {
			return run(args);
		}
		catch (Exception ex) {
			System.err.println("cannot start: " + ex.getMessage());
			return FAILED;
		}
	}

	private static int run(String[] args) throws Exception {
		TrialOptions trial = new TrialOptions();
		RunOptions run = new RunOptions();
		StandInOptions standIn = new StandInOptions();
		JCommander commander = JCommander.newBuilder()
			.programName("comfreywalld")
			.addCommand("run", run)
			.addCommand("trial", trial)
			.addCommand("stand-in", standIn)
			.build();
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage() + "; see comfreywalld --help");
			return USAGE;
		}
		String command = commander.getParsedCommand();
		if (command == null || trial.help() || run.help() || standIn.help()) {
			commander.usage();
			return (command != null) ? 0 : USAGE;
		}
		return switch (command) {
			case "run" -> RunCommand.run(run);
			case "stand-in" -> StandInCommand.run(standIn);
			default -> TrialCommand.run(trial);
		};
	}

}
