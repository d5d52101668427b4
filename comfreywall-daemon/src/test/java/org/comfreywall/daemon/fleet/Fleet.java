package org.comfreywall.daemon.fleet;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.daemon.standin.FakeBackendServer;

/**
 * A fleet on loopback: three control instances, two entries and three sidecars, each a
 * process of its own. The backend servers are fakes in the test's process.
 */
final class Fleet implements AutoCloseable {

	private static final int CONTROLS = 3;

	/**
	 * Listeners use ports below the ephemeral range, so that no outgoing connection
	 * occupies one before its process listens.
	 */
	private static final int LOWEST_PORT = 12_000;

	private static final int HIGHEST_PORT = 30_000;

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private final Closer closer = new Closer();

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = HttpClient.newHttpClient();

	private final Path folder;

	private final Map<String, FleetProcess> processes = new HashMap<>();

	private final Map<String, FakeBackendServer> backends = new HashMap<>();

	private final Map<String, Integer> adminPorts = new HashMap<>();

	private final Map<String, Integer> entryPorts = new HashMap<>();

	private final int[] controlPorts = new int[CONTROLS];

	/** A chosen port is free until its process listens, so none is chosen twice. */
	private final Set<Integer> chosenPorts = new HashSet<>();

	private Fleet(Path folder) {
		this.folder = folder;
		this.closer.register(() -> this.vertx.close().await());
	}

	static Fleet start(Path folder) throws Exception {
		Fleet fleet = new Fleet(folder);
		try {
			fleet.startAll();
			return fleet;
		}
		catch (Exception ex) {
			fleet.close();
			throw ex;
		}
	}

	private void startAll() throws Exception {
		for (int i = 0; i < CONTROLS; i++) {
			this.controlPorts[i] = freePort();
		}
		for (int i = 1; i <= CONTROLS; i++) {
			startControl("control-" + i, "--found");
		}
		startBackend("chat-1", "chat");
		startBackend("chat-2", "chat");
		startBackend("booking-1", "booking");
		startEntry("entry-1");
		startEntry("entry-2");
		for (FleetProcess process : this.processes.values()) {
			process.awaitReady();
		}
		await("a leader", () -> leader() != null);
		applyConfiguration();
	}

	FleetProcess process(String name) {
		return this.processes.get(name);
	}

	FakeBackendServer backend(String name) {
		return this.backends.get(name);
	}

	long runningStreams() {
		return this.backends.values().stream().mapToLong(FakeBackendServer::runningStreams).sum();
	}

	void pauseStreams() {
		this.backends.values().forEach(FakeBackendServer::pauseStreams);
	}

	void resumeStreams() {
		this.backends.values().forEach(FakeBackendServer::resumeStreams);
	}

	URI entry(String name) {
		return URI.create("http://127.0.0.1:" + this.entryPorts.get(name));
	}

	void restart(String name) throws Exception {
		FleetProcess process = FleetProcess.start(settingsFile(name), log(name));
		this.processes.put(name, this.closer.register(process));
		process.awaitReady();
	}

	String leader() {
		for (int i = 1; i <= CONTROLS; i++) {
			JsonObject log = status("control-" + i).getJsonObject("log", new JsonObject());
			if (log.getBoolean("holdsLease", false)) {
				return "control-" + i;
			}
		}
		return null;
	}

	JsonObject status(String name) {
		try {
			HttpRequest request = HttpRequest.newBuilder(admin(name, "/v1/status"))
				.timeout(Duration.ofSeconds(2))
				.build();
			return new JsonObject(this.client.send(request, HttpResponse.BodyHandlers.ofString()).body());
		}
		catch (IOException ex) {
			return new JsonObject();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	HttpResponse<String> change(String admin, long expected, String changeId, String configuration)
			throws IOException, InterruptedException {
		JsonObject change = new JsonObject().put("changeId", changeId)
			.put("expectedRevision", expected)
			.put("author", "test")
			.put("reason", "test")
			.put("configuration", configuration);
		HttpRequest request = HttpRequest.newBuilder(admin(admin, "/v1/changes"))
			.POST(HttpRequest.BodyPublishers.ofString(change.encode()))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	int drain(String backendServer) {
		String body = new JsonObject().put("backendServer", backendServer).encode();
		try {
			HttpRequest request = HttpRequest.newBuilder(admin("entry-1", "/v1/drain"))
				.POST(HttpRequest.BodyPublishers.ofString(body))
				.build();
			return send(request).statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	HttpRequest post(String entry, String path, String key, String body) {
		return HttpRequest.newBuilder(entry(entry).resolve(path))
			.timeout(TIMEOUT)
			.header("Authorization", "Bearer fleet-key")
			.header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
	}

	HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	HttpClient client() {
		return this.client;
	}

	static void await(String what, BooleanSupplier condition) throws InterruptedException {
		await(() -> what, condition);
	}

	static void await(Supplier<String> what, BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + TIMEOUT.toNanos();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > deadline) {
				throw new IllegalStateException("timed out waiting for " + what.get());
			}
			Thread.sleep(50);
		}
	}

	static String configuration(long inFlight) {
		return """
				[[failure-domain]]
				name = "local"
				region = "local"

				[[service]]
				name = "chat"
				kind = "model"
				path-prefix = "/v1/chat/completions"
				idempotent-requests = ["POST /v1/chat/completions"]
				key-required = false

				[[service]]
				name = "booking"
				kind = "plain"
				path-prefix = "/booking"
				idempotent-requests = ["GET /booking"]
				key-required = true

				[[client-account]]
				name = "farm"
				key-hashes = ["%s"]
				requests-per-second = 1000
				tokens-per-second = 1000000
				in-flight = %d
				highest-class = "interactive"
				services = ["chat", "booking"]
				""".formatted(Bytes.ofText("fleet-key").sha256(), inFlight);
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	private void applyConfiguration() throws Exception {
		HttpResponse<String> accepted = change("control-1", 0, UUID.randomUUID().toString(), configuration(500));
		if (accepted.statusCode() != 200) {
			throw new IllegalStateException("configuration change failed: " + accepted.body());
		}
		await("the configuration at all entries", () -> revision("entry-1") >= 1 && revision("entry-2") >= 1);
		await("successful bookings through both entries", () -> servesBooking("entry-1") && servesBooking("entry-2"));
	}

	private boolean servesBooking(String entry) {
		try {
			HttpRequest request = HttpRequest.newBuilder(entry(entry).resolve("/booking/schedule"))
				.header("Authorization", "Bearer fleet-key")
				.build();
			return send(request).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	long revision(String name) {
		return status(name).getLong("revision", -1L);
	}

	private URI admin(String name, String path) {
		return URI.create("http://127.0.0.1:" + this.adminPorts.get(name) + path);
	}

	private void startControl(String name, String... options) throws Exception {
		int index = Integer.parseInt(name.substring(name.length() - 1)) - 1;
		String peers = IntStream.rangeClosed(1, CONTROLS)
			.mapToObj((i) -> "[[control.peer]]\nname = \"control-%d\"\naddress = \"127.0.0.1:%d\"\n".formatted(i,
					this.controlPorts[i - 1]))
			.collect(Collectors.joining());
		start(name, "control", "[control]\nlisten = \"127.0.0.1:%d\"\ndata-folder = \"%s\"\n%s"
			.formatted(this.controlPorts[index], this.folder.resolve(name + "-data"), peers), options);
	}

	private void startBackend(String name, String service) throws Exception {
		FakeBackendServer backend = this.closer.register(new FakeBackendServer(this.vertx, 0, Duration.ofMillis(20)));
		this.backends.put(name, backend);
		start(name, "sidecar",
				"[sidecar]\nlisten = \"127.0.0.1:0\"\nservice = \"%s\"\nbackend = \"http://127.0.0.1:%d\"\ncontrol = %s\n"
					.formatted(service, backend.port(), controlList()));
	}

	private void startEntry(String name) throws Exception {
		int port = freePort();
		this.entryPorts.put(name, port);
		start(name, "entry", "[entry]\nlisten = \"127.0.0.1:%d\"\ncontrol = %s\n".formatted(port, controlList()));
	}

	private void start(String name, String role, String section, String... options) throws Exception {
		int admin = freePort();
		this.adminPorts.put(name, admin);
		Files.writeString(settingsFile(name), """
				name = "%s"
				roles = ["%s"]
				failure-domain = "local"
				region = "local"
				[admin]
				listen = "127.0.0.1:%d"
				%s""".formatted(name, role, admin, section));
		this.processes.put(name, this.closer.register(FleetProcess.start(settingsFile(name), log(name), options)));
	}

	private String controlList() {
		return IntStream.of(this.controlPorts)
			.mapToObj((port) -> "\"127.0.0.1:" + port + "\"")
			.collect(Collectors.joining(", ", "[", "]"));
	}

	private Path settingsFile(String name) {
		return this.folder.resolve(name + ".toml");
	}

	private Path log(String name) {
		return this.folder.resolve(name + ".log");
	}

	private int freePort() throws IOException {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
			if (!this.chosenPorts.add(port)) {
				continue;
			}
			try (ServerSocket socket = new ServerSocket(port)) {
				return socket.getLocalPort();
			}
			catch (BindException ex) {
				continue;
			}
		}
	}

}
