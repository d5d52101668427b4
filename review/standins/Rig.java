import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * What the cases share: the record, the system's own processes with their settings files,
 * a plain HTTP/1.1 client and the operator. Everything uses loopback addresses.
 */
final class Rig {

	/** Exit codes of a case. */
	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Path folder;

	final long startedAt = System.nanoTime();

	private final BufferedWriter record;

	private final List<Front> fronts = new ArrayList<>();

	private final List<AutoCloseable> others = new ArrayList<>();

	final int basePort;

	Rig(String recordFile) throws IOException {
		this.record = Files.newBufferedWriter(Path.of(recordFile));
		this.folder = Files.createTempDirectory("review-");
		this.basePort = freePorts();
		note("trouble=" + this.trouble);
	}

	/** A case's own steps. */
	interface Steps {

		int run(Rig rig) throws Exception;

	}

	static void main(String[] args, Steps steps) throws Exception {
		int result = NOT_RUN;
		Rig rig = new Rig(args[0]);
		// Ends what was started also if the case is interrupted.
		Thread hook = new Thread(rig::stopProcesses);
		Runtime.getRuntime().addShutdownHook(hook);
		try {
			result = steps.run(rig);
		}
		catch (CannotRunException ex) {
			rig.note("could not run: " + ex.getMessage());
		}
		catch (Exception ex) {
			rig.note("could not run: " + ex);
			ex.printStackTrace();
		}
		rig.note("result " + result + " (0 held, 1 broken, 2 could not run)");
		rig.close();
		System.exit(result);
	}

	/** Thrown if the case could not bring its steps about. */
	static final class CannotRunException extends RuntimeException {

		private static final long serialVersionUID = 1;

		CannotRunException(String message) {
			super(message);
		}

	}

	synchronized void note(String line) {
		try {
			String text = String.format(Locale.ROOT, "%8.3f %s", (System.nanoTime() - this.startedAt) / 1e9, line);
			this.record.write(text);
			this.record.newLine();
			this.record.flush();
			System.out.println(text);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** A base of ports that are free on the loopback addresses of all machines. */
	private static int freePorts() throws IOException {
		// Cases that run beside each other begin their search at different ports.
		int first = (int) (ProcessHandle.current().pid() % 280);
		for (int i = 0; i < 280; i++) {
			int base = 20300 + (first + i) % 280 * 40;
			boolean free = true;
			for (int offset = 0; free && offset < 24; offset++) {
				free = isFree(base + offset);
			}
			if (free) {
				return base;
			}
		}
		throw new IOException("no free ports");
	}

	private static boolean isFree(int port) {
		for (String address : List.of("127.1.0.10", "127.1.0.11", "127.1.0.12", "127.2.0.10")) {
			try (ServerSocket probe = new ServerSocket()) {
				probe.setReuseAddress(true);
				probe.bind(new InetSocketAddress(InetAddress.getByName(address), port));
			}
			catch (IOException ex) {
				return false;
			}
		}
		return true;
	}

	<T extends AutoCloseable> T register(T other) {
		this.others.add(other);
		return other;
	}

	private void stopProcesses() {
		this.fronts.forEach(Front::kill);
	}

	void close() throws Exception {
		stopProcesses();
		for (AutoCloseable other : this.others) {
			other.close();
		}
		this.record.close();
		if (System.getenv("KEEP") == null) {
			try (Stream<Path> files = Files.walk(this.folder)) {
				for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
					Files.delete(file);
				}
			}
		}
	}

	/** The words of the run line of a role in the deploy file. */
	static List<String> command(String role) throws IOException {
		String text = Files.readString(Path.of("deploy/system.toml"));
		Matcher found = Pattern
			.compile("\\[roles\\." + Pattern.quote(role) + "\\]\\s+run = \"([^\"]*)\"", Pattern.DOTALL)
			.matcher(text);
		if (!found.find()) {
			throw new IOException("no run line for " + role);
		}
		return new ArrayList<>(Arrays.asList(found.group(1).split(" ")));
	}

	/** Starts a small deployment: one machine with a disk in each of three zones. */
	List<Front> startFronts(int count) throws IOException {
		List<Front> started = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			started.add(new Front(this, i, count));
		}
		this.fronts.addAll(started);
		for (Front front : started) {
			front.start(true);
		}
		return started;
	}

	/** Sends the configuration until it is accepted, as an operator does. */
	boolean configure(List<Front> nodes, String document, long millis) throws InterruptedException {
		long until = System.nanoTime() + millis * 1_000_000L;
		for (int turn = 0; System.nanoTime() < until; turn++) {
			int status = post(nodes.get(turn % nodes.size()), "/v1/config/replace", document);
			if (status == 200) {
				return true;
			}
			Thread.sleep(150);
		}
		return false;
	}

	int post(Front node, String path, String body) {
		try {
			Reply reply = Http.call(node.ip, node.controlPort(), "POST", path,
					Map.of("Content-Type", "application/json"), body.getBytes(StandardCharsets.UTF_8), 1000);
			return reply.status;
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/** One machine of the class front, with its process. */
	static final class Front {

		final Rig rig;

		final int index;

		final int count;

		final String name;

		final String ip;

		final String zone;

		Process process;

		Front(Rig rig, int index, int count) {
			this.rig = rig;
			this.index = index;
			this.count = count;
			this.zone = "zone-" + (char) ('a' + index % 3);
			this.name = "front-" + this.zone + "-" + (index / 3 + 1);
			this.ip = "127.1.0." + (index + 10);
		}

		int frontPort() {
			return this.rig.basePort + 17;
		}

		int readyPort() {
			return this.rig.basePort + 18;
		}

		int controlPort() {
			return this.rig.basePort + 19;
		}

		Path logFile() {
			return this.rig.folder.resolve(this.name + ".log");
		}

		void start(boolean bootstrap) throws IOException {
			Path settings = this.rig.folder.resolve(this.name + ".toml");
			Path temporary = this.rig.folder.resolve(this.name + ".new");
			Files.writeString(temporary, settings(bootstrap));
			Files.move(temporary, settings, StandardCopyOption.ATOMIC_MOVE);
			ProcessBuilder builder = new ProcessBuilder(command("gateway"));
			Map<String, String> kept = new HashMap<>(builder.environment());
			builder.environment().clear();
			for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
				if (kept.containsKey(name)) {
					builder.environment().put(name, kept.get(name));
				}
			}
			builder.environment().put("COMFREYWALL_CONFIG", settings.toString());
			builder.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
			this.process = builder.start();
			this.rig.note("started " + this.name + " at " + this.ip + " bootstrap=" + bootstrap);
		}

		/** SIGKILL to a process that this test has started. */
		void kill() {
			if (this.process != null && this.process.isAlive()) {
				this.process.destroyForcibly();
				try {
					this.process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

		boolean isReady() {
			try {
				return Http.call(this.ip, readyPort(), "GET", "/v1/ready", Map.of(), new byte[0], 500).status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		/** Waits for a line of the process's log. */
		boolean awaitLog(String part, long millis) throws IOException, InterruptedException {
			long until = System.nanoTime() + millis * 1_000_000L;
			while (System.nanoTime() < until) {
				if (Files.exists(logFile()) && Files.readString(logFile()).contains(part)) {
					return true;
				}
				Thread.sleep(5);
			}
			return false;
		}

		private String settings(boolean bootstrap) {
			StringBuilder seeds = new StringBuilder();
			for (int i = 0; i < Math.min(3, this.count); i++) {
				seeds.append((i > 0) ? "," : "").append("\"127.1.0.").append(i + 10).append(':').append(controlPort())
					.append('"');
			}
			return String.join("\n", "node = \"" + this.name + "\"", "role = \"gateway\"", "class = \"front\"",
					"serves = [\"front\",\"control\"]", "ip = \"" + this.ip + "\"", "zone = \"" + this.zone + "\"",
					"region = \"region\"",
					"port_range = [" + this.rig.basePort + "," + (this.rig.basePort + 15) + "]",
					"seeds = [" + seeds + "]", "bootstrap = " + bootstrap, "tolerated = true",
					"data_dir = \"" + this.rig.folder.resolve("data-" + this.name) + "\"", "discovery = \"registry\"",
					"entry = \"vip\"", "heartbeat_ms = 1200",
					"contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"tenants\"]",
					"config_mode = \"highest\"", "[zones]", "zone-a = \"region\"", "zone-b = \"region\"",
					"zone-c = \"region\"", "[listen]", "front = \"" + this.ip + ":" + frontPort() + "\"",
					"ready = \"" + this.ip + ":" + readyPort() + "\"",
					"control = \"" + this.ip + ":" + controlPort() + "\"", "[limits]", "cpu_share = 0.675",
					"cores = 2", "memory_mb = 430", "max_fds = 4100", "link_mbps = 1000.0", "disk_mb = 64",
					"[tolerate]", "machines = 1", "zones = 0", "regions = 0", "[bounds]", "seed_lag_s = 3",
					"reuse_after_s = 2", "contact_ms = 3000", "ack_ms = 4000", "catch_up_s = 4", "drain_ms = 2000",
					"grace_s = 8", "loss_slack_ms = 200", "config_ms = 2000", "rollback_slack_ms = 250",
					"max_skew_ms = 5000", "strict_revoke = false", "revoke_ms = 5000", "retry_ratio = 0.2",
					"retry_window_s = 10", "retry_slack = 96", "recovery_s = 12", "pass_ms = 120", "retry_after_s = 0",
					"stall_ms = 1500", "require_fence = false", "");
		}

	}

	/** A response. */
	static final class Reply {

		int status;

		final Map<String, String> headers = new HashMap<>();

		byte[] body = new byte[0];

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

	}

	/** One request on a connection of its own. */
	static final class Http {

		private Http() {
		}

		static Reply call(String ip, int port, String method, String path, Map<String, String> headers, byte[] body,
				int timeoutMillis) throws IOException {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), Math.min(1000, timeoutMillis));
				socket.setSoTimeout(timeoutMillis);
				socket.setTcpNoDelay(true);
				StringBuilder head = new StringBuilder(method).append(' ').append(path).append(" HTTP/1.1\r\n");
				if (!headers.containsKey("Host")) {
					head.append("Host: ").append(ip).append(':').append(port).append("\r\n");
				}
				headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
				if (body.length > 0 || method.equals("POST")) {
					head.append("Content-Length: ").append(body.length).append("\r\n");
				}
				head.append("Connection: close\r\n\r\n");
				ByteArrayOutputStream all = new ByteArrayOutputStream();
				all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
				all.write(body);
				OutputStream out = socket.getOutputStream();
				out.write(all.toByteArray());
				out.flush();
				return read(new BufferedInputStream(socket.getInputStream()));
			}
		}

		static Reply read(InputStream in) throws IOException {
			Reply reply = new Reply();
			String first = line(in);
			if (!first.startsWith("HTTP/1.1 ")) {
				throw new IOException("no status line: " + first);
			}
			reply.status = Integer.parseInt(first.substring(9, 12));
			readHeaders(in, reply.headers);
			if ("chunked".equalsIgnoreCase(reply.header("Transfer-Encoding"))) {
				ByteArrayOutputStream body = new ByteArrayOutputStream();
				for (int size = Integer.parseInt(line(in).trim(), 16); size > 0; size = Integer
					.parseInt(line(in).trim(), 16)) {
					body.write(bytes(in, size));
					line(in);
				}
				line(in);
				reply.body = body.toByteArray();
			}
			else if (reply.header("Content-Length") != null) {
				reply.body = bytes(in, Integer.parseInt(reply.header("Content-Length")));
			}
			else {
				reply.body = in.readAllBytes();
			}
			return reply;
		}

		static void readHeaders(InputStream in, Map<String, String> headers) throws IOException {
			for (String next = line(in); !next.isEmpty(); next = line(in)) {
				int colon = next.indexOf(':');
				headers.put(next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
						next.substring(colon + 1).trim());
			}
		}

		static byte[] bytes(InputStream in, int count) throws IOException {
			byte[] found = in.readNBytes(count);
			if (found.length < count) {
				throw new EOFException("cut off");
			}
			return found;
		}

		static String line(InputStream in) throws IOException {
			StringBuilder line = new StringBuilder();
			for (int next = in.read(); next != '\n'; next = in.read()) {
				if (next < 0) {
					throw new EOFException("closed");
				}
				line.append((char) next);
			}
			return line.toString().stripTrailing();
		}

		static boolean isTimeout(IOException ex) {
			return ex instanceof SocketTimeoutException;
		}

	}

}
