package org.comfreywall.daemon.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A daemon process started by a test.
 */
final class FleetProcess implements AutoCloseable {

	private static final long STOP_SECONDS = 30;

	private final Process process;

	private final Path log;

	private FleetProcess(Process process, Path log) {
		this.process = process;
		this.log = log;
	}

	static FleetProcess start(Path settings, Path log, String... options) throws IOException {
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx128m",
						"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
						"org.comfreywall.daemon.Comfreywalld", "run", "--settings", settings.toString()));
		command.addAll(List.of(options));
		Process process = new ProcessBuilder(command).redirectError(log.toFile()).start();
		return new FleetProcess(process, log);
	}

	/**
	 * Waits for the ready line on the standard output of the process.
	 * @return the line
	 */
	String awaitReady() throws IOException {
		BufferedReader output = this.process.inputReader();
		String line = output.readLine();
		if (line == null || !line.startsWith("ready ")) {
			throw new IOException("process did not start: " + line + "\n" + Files.readString(this.log));
		}
		return line;
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly().waitFor();
	}

	boolean terminate() throws InterruptedException {
		this.process.destroy();
		return this.process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	@Override
	public void close() throws Exception {
		kill();
	}

}
