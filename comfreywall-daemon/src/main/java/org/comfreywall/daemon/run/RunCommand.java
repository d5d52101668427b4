package org.comfreywall.daemon.run;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

import org.comfreywall.common.log.LogSetup;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.settings.InstanceSettings;
import org.comfreywall.common.settings.LogLevel;
import org.comfreywall.common.settings.SettingsReader;

/**
 * The run command: runs the daemon.
 */
public final class RunCommand {

	private static final int FAILED = 1;

	private RunCommand() {
	}

	/**
	 * Runs the daemon until the process receives a termination signal, then shuts it down
	 * gracefully.
	 * @param options the options given on the command line
	 * @return the exit code
	 * @throws Exception if the daemon cannot start
	 */
	public static int run(RunOptions options) throws Exception {
		Result<InstanceSettings> settings = SettingsReader.read(Path.of(options.settingsFile()));
		if (settings.error().isPresent()) {
			System.err.println(settings.error().get().message());
			return FAILED;
		}
		LogSetup.install(level(settings.value().orElseThrow().logLevel()));
		Result<Daemon> started = Daemon.start(settings.value().orElseThrow(), options.bootstrap());
		if (started.error().isPresent()) {
			System.err.println(started.error().get().message());
			return FAILED;
		}
		Daemon daemon = started.value().orElseThrow();
		Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
		System.out.println("ready " + daemon.describe());
		new CountDownLatch(1).await();
		return 0;
	}

	private static Level level(LogLevel level) {
		return switch (level) {
			case DEBUG -> Level.FINE;
			case INFO -> Level.INFO;
			case WARN -> Level.WARNING;
			case ERROR -> Level.SEVERE;
		};
	}

}
