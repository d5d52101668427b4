package org.comfreywall.daemon.standin;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import io.vertx.core.Vertx;

/**
 * The stand-in command: runs a fake backend server.
 */
public final class StandInCommand {

	private StandInCommand() {
	}

	/**
	 * Runs the server until the process is stopped.
	 * @param options the options given on the command line
	 * @return the exit code
	 * @throws Exception if the server cannot start
	 */
	public static int run(StandInOptions options) throws Exception {
		try (FakeBackendServer server = new FakeBackendServer(Vertx.vertx(), options.port(),
				Duration.ofMillis(options.tokenInterval()))) {
			System.out.println("ready backend=http://127.0.0.1:" + server.port());
			new CountDownLatch(1).await();
			return 0;
		}
	}

}
