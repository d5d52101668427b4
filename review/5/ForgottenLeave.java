package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server leaves without draining first. All machines are killed and start again, and a
 * heartbeat that the server sent before it left arrives late.
 */
public final class ForgottenLeave {

	private static final String ROUTES = "\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
			+ "\"kind\":\"unsafe\",\"timeout_ms\":1500,\"slo_ms\":300,\"priority\":1,\"service\":\"s-a\","
			+ "\"attempts\":1,\"public\":true}],\"services\":[{\"name\":\"s-a\",\"health_path\":\"/health\","
			+ "\"max_conns\":120,\"protocol\":\"h1\",\"tls\":false}]";

	/** The heartbeat arrives this long after the leave was acknowledged. */
	private static final int LATE_MILLIS = 2600;

	/** More than drain_ms, and more than contact_ms after the machines have started. */
	private static final int IN_TOUCH_MILLIS = 6000;

	private static final int EXIT_MILLIS = 9000;

	private static final int CLIENTS_PER_NODE = 4;

	private static final int RETRY_MILLIS = 300;

	private final Journal journal;

	private final Platform platform;

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private volatile boolean stopping;

	private ForgottenLeave(Journal journal, Platform platform) {
		this.journal = journal;
		this.platform = platform;
	}

	public static void main(String[] args) {
		Case.main(args[0], (platform, journal, trouble) -> new ForgottenLeave(journal, platform).run(trouble));
	}

	private int run(boolean trouble) throws Exception {
		List<String> nodes = List.of("a", "b", "c");
		for (String node : nodes) {
			this.platform.start(node, true, true, nodes);
		}
		Operator operator = new Operator(this.platform, this.journal, ROUTES);
		if (!operator.replace(10, nodes, 20)) {
			return 2;
		}
		List<Backend> backends = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			Backend backend = new Backend(this.platform, this.journal, "w" + i, "s-a", 6, (request) -> {
				Thread.sleep(60);
				return new byte[800];
			});
			backend.announce(nodes);
			backends.add(backend);
		}
		// Longer than contact_ms, so that the machines are in touch.
		Thread.sleep(6000);
		for (String node : nodes) {
			for (int i = 0; i < CLIENTS_PER_NODE; i++) {
				String name = node + i;
				Thread client = new Thread(() -> sendRequests(node, name));
				client.setDaemon(true);
				client.start();
			}
		}
		Thread.sleep(2000);
		Backend leaving = backends.get(0);
		// This heartbeat is on its way while the server leaves.
		String late = leaving.heartbeat();
		if (leaving.ran().isEmpty() || !leave(leaving, nodes)) {
			return 2;
		}
		long acknowledgedAt = System.nanoTime();
		if (trouble) {
			for (String node : nodes) {
				this.platform.signal(node, "KILL");
			}
			Thread.sleep(800);
			for (String node : nodes) {
				this.platform.start(node, true, false, nodes);
			}
			sleepUntil(acknowledgedAt, LATE_MILLIS);
			this.journal.add("the heartbeat of w0 from before its leave arrives %s",
					leaving.send(late, nodes.get(0)) ? "and is acknowledged" : "and is not acknowledged");
		}
		sleepUntil(acknowledgedAt, IN_TOUCH_MILLIS);
		int before = leaving.ran().size();
		this.journal.add("the machines have been in touch again for a while");
		sleepUntil(acknowledgedAt, EXIT_MILLIS);
		int reached = leaving.ran().size() - before;
		leaving.close();
		this.journal.add("w0 exits");
		Thread.sleep(1500);
		this.stopping = true;
		Thread.sleep(2000);
		this.journal.add("requests that reached w0 later than drain_ms after the acknowledgement, from machines in"
				+ " touch: %d", reached);
		this.journal.add("requests answered: %d; failed or refused: %d", this.answered.get(), this.failed.get());
		return (reached > 0) ? 1 : 0;
	}

	private boolean leave(Backend leaving, List<String> nodes) {
		for (String node : nodes) {
			boolean acknowledged = leaving.leave(node);
			this.journal.add("w0 sends its leave to %s: %s", node, acknowledged ? "acknowledged" : "not acknowledged");
			if (acknowledged) {
				return true;
			}
		}
		return false;
	}

	private static void sleepUntil(long since, int millis) throws InterruptedException {
		Thread.sleep(Math.max(0, millis - (System.nanoTime() - since) / 1_000_000));
	}

	private void sendRequests(String node, String name) {
		for (int i = 0; !this.stopping; i++) {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress(this.platform.address(node), Platform.FRONT), 1000);
				socket.setSoTimeout(3000);
				while (!this.stopping) {
					Http.Message answer = exchange(socket, name + "-" + i++);
					if (answer == null || answer.status() != 200) {
						this.failed.incrementAndGet();
						this.journal.add("client %s: %s", name, (answer != null) ? answer.first() : "closed");
						Thread.sleep(RETRY_MILLIS);
						break;
					}
					this.answered.incrementAndGet();
					Thread.sleep(30);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.failed.incrementAndGet();
				this.journal.add("client %s: %s", name, ex.getMessage());
				pause();
			}
		}
	}

	private static void pause() {
		try {
			Thread.sleep(RETRY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Http.Message exchange(Socket socket, String id) throws IOException {
		OutputStream out = socket.getOutputStream();
		out.write(("POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Comfreywall-Attempt-Id: " + id
				+ "\r\nX-Comfreywall-Deadline-Ms: 1500\r\nContent-Length: 600\r\n\r\n")
			.getBytes(StandardCharsets.US_ASCII));
		out.write(new byte[600]);
		out.flush();
		return Http.read(socket.getInputStream());
	}

}
