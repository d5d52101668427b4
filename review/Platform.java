package review;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Stand-in for the platform: writes settings files, starts the gateway processes with the
 * command of the deploy file, sends signals and ends what it started. Each machine has a
 * loopback address of its own, so the ports are the same on all of them.
 */
public final class Platform implements AutoCloseable {

	public static final int FRONT = 8227;

	public static final int CONTROL = 8229;

	private static final String[] ZONES = { "north", "south", "west" };

	private final Journal journal;

	private final Path folder;

	private final String network;

	private int readyPort = 8220;

	private final Map<String, Process> processes = new LinkedHashMap<>();

	private final Map<String, String> addresses = new LinkedHashMap<>();

	public Platform(Journal journal) throws IOException {
		this.journal = journal;
		this.folder = Files.createTempDirectory("review");
		this.network = freeNetwork();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	private static String freeNetwork() throws IOException {
		Random random = new Random();
		for (int i = 0; i < 50; i++) {
			String network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
			try (ServerSocket probe = new ServerSocket()) {
				probe.bind(new InetSocketAddress(network + 1, CONTROL));
				return network;
			}
			catch (IOException ex) {
				// In use; try another one.
			}
		}
		throw new IOException("no free loopback addresses");
	}

	public String address(String node) {
		return this.addresses.computeIfAbsent(node, (added) -> this.network + (this.addresses.size() + 1));
	}

	/** Sets the port of the readiness checks; like all ports it is new each day. */
	public void readyPort(int port) {
		this.readyPort = port;
	}

	public List<String> running() {
		List<String> running = new ArrayList<>();
		this.processes.forEach((node, process) -> {
			if (process.isAlive()) {
				running.add(node);
			}
		});
		return running;
	}

	/** Starts a machine's process. The seeds are nodes that serve control. */
	public void start(String node, boolean disk, boolean bootstrap, List<String> seeds) throws IOException {
		String ip = address(node);
		int number = Integer.parseInt(ip.substring(ip.lastIndexOf('.') + 1));
		Path data = this.folder.resolve(node + "-data");
		if (disk) {
			Files.createDirectories(data);
		}
		StringBuilder text = new StringBuilder();
		text.append("node = \"%s\"\nrole = \"gateway\"\nclass = \"front\"\nserves = [\"front\",\"control\"]\n"
			.formatted(node));
		text.append("ip = \"%s\"\nzone = \"%s\"\nregion = \"all\"\nport_range = [7340,7355]\n".formatted(ip,
				ZONES[number % ZONES.length]));
		text.append("seeds = [");
		seeds.forEach((seed) -> text.append("\"%s:%d\",".formatted(address(seed), CONTROL)));
		text.append("]\nbootstrap = %b\ntolerated = %b\ndata_dir = \"%s\"\n".formatted(bootstrap, disk,
				disk ? data : ""));
		text.append("discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1200\nconfig_mode = \"highest\"\n");
		text.append("[listen]\nfront = \"%1$s:%2$d\"\nready = \"%1$s:%3$d\"\ncontrol = \"%1$s:%4$d\"\n".formatted(ip,
				FRONT, this.readyPort, CONTROL));
		text.append("[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\ncontact_ms = 3000\nack_ms = 4000\n");
		text.append("catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_ms = 2000\n");
		text.append("rollback_slack_ms = 250\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 96\n");
		text.append("recovery_s = 12\n");
		Path settings = this.folder.resolve(node + ".toml");
		Files.writeString(settings, text);
		ProcessBuilder builder = new ProcessBuilder(command());
		builder.environment().put("COMFREYWALL_CONFIG", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.folder.resolve(node + ".log").toFile()));
		builder.redirectInput(new File("/dev/null"));
		this.processes.put(node, builder.start());
		this.journal.add("start %s at %s, %s", node, ip, disk ? "with a disk" : "without a disk");
	}

	// The run line of the role gateway in the deploy file, split at spaces.
	private static List<String> command() throws IOException {
		Matcher line = Pattern.compile("\\[roles\\.gateway\\]\\s+run = \"([^\"]+)\"")
			.matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!line.find()) {
			throw new IOException("the deploy file has no role gateway");
		}
		return List.of(line.group(1).split(" "));
	}

	/** Sends a signal: TERM, KILL, STOP or CONT. */
	public void signal(String node, String name) throws IOException, InterruptedException {
		this.journal.add("SIG%s to %s", name, node);
		new ProcessBuilder("kill", "-" + name, Long.toString(this.processes.get(node).pid())).inheritIO()
			.start()
			.waitFor();
	}

	public boolean waitForExit(String node, int seconds) throws InterruptedException {
		boolean ended = this.processes.get(node).waitFor(seconds, java.util.concurrent.TimeUnit.SECONDS);
		this.journal.add("%s %s", node, ended ? "has ended" : "still runs");
		return ended;
	}

	/** The disk of a stopped machine is lost: its data folder is empty at the next start. */
	public void loseDisk(String node) throws IOException {
		delete(this.folder.resolve(node + "-data"));
		this.journal.add("the disk of %s is lost", node);
	}

	/** Returns the errors that a process wrote to its log. */
	public String errors(String node) throws IOException {
		try (Stream<String> lines = Files.lines(this.folder.resolve(node + ".log"))) {
			return lines.filter((line) -> line.contains("Error") || line.contains("Exception"))
				.distinct()
				.limit(5)
				.reduce("errors in the log of " + node + ":", (all, line) -> all + "\n          " + line);
		}
	}

	private static void delete(Path path) throws IOException {
		if (!Files.exists(path)) {
			return;
		}
		try (Stream<Path> files = Files.walk(path)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	@Override
	public synchronized void close() {
		this.processes.values().forEach(Process::destroyForcibly);
		for (Process process : this.processes.values()) {
			try {
				process.waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		try {
			if (System.getenv("KEEP") == null) {
				delete(this.folder);
			}
			else {
				System.err.println("kept: " + this.folder);
			}
		}
		catch (IOException ex) {
			System.err.println("cannot delete " + this.folder + ": " + ex);
		}
	}

}
