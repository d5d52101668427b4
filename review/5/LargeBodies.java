package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Clients of one machine send large bodies at the same time, each within max_body_bytes,
 * while others go on with small ones.
 */
public final class LargeBodies {

	private static final String ROUTES = "\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
			+ "\"kind\":\"unsafe\",\"timeout_ms\":8000,\"slo_ms\":3000,\"priority\":1,\"service\":\"s-a\","
			+ "\"attempts\":1,\"public\":true}],\"services\":[{\"name\":\"s-a\",\"health_path\":\"/health\","
			+ "\"max_conns\":268,\"protocol\":\"h1\",\"tls\":false}]";

	private static final int LARGE_CLIENTS = 70;

	private static final int SMALL_CLIENTS = 20;

	private static final int LARGE_BYTES = 4_000_000;

	private static final int SMALL_BYTES = 600;

	private static final int TIMEOUT_MILLIS = 8000;

	/** The final answer must come within this time after the route's timeout. */
	private static final int ANSWER_MILLIS = 500;

	/** Longer than two attempts to their end; the script must end within 120 s. */
	private static final int RUN_MILLIS = 40_000;

	/** CONFIG is broken by this many requests without a final answer. */
	private static final int TOO_MANY = 8;

	private final Journal journal;

	private final Platform platform;

	private int answered;

	private int closed;

	private int unanswered;

	/** Requests that lasted longer than the route's timeout, answered or not. */
	private int outlasting;

	private LargeBodies(Journal journal, Platform platform) {
		this.journal = journal;
		this.platform = platform;
	}

	public static void main(String[] args) {
		Case.main(args[0], (platform, journal, trouble) -> new LargeBodies(journal, platform).run(trouble));
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
		for (int i = 0; i < 3; i++) {
			new Backend(this.platform, this.journal, "w" + i, "s-a", 12, (request) -> {
				Thread.sleep((request.body().length > SMALL_BYTES) ? 500 : 60);
				return new byte[800];
			}).announce(nodes);
		}
		// The machines are in touch, and the servers are known.
		Thread.sleep(5000);
		long end = System.nanoTime() + 10_000_000_000L;
		List<Thread> clients = new ArrayList<>();
		CountDownLatch ready = new CountDownLatch(LARGE_CLIENTS);
		for (int i = 0; i < SMALL_CLIENTS; i++) {
			String name = "small" + i;
			clients.add(new Thread(() -> sendSmall(name, end)));
		}
		for (int i = 0; i < LARGE_CLIENTS; i++) {
			String name = "large" + i;
			clients.add(new Thread(() -> sendLarge(name, trouble ? LARGE_BYTES : SMALL_BYTES, ready)));
		}
		clients.forEach((client) -> client.setDaemon(true));
		clients.forEach(Thread::start);
		// A client whose body is not read any more blocks as it writes. Its request has not
		// been sent whole, so it counts neither as answered nor as without an answer.
		long last = System.nanoTime() + RUN_MILLIS * 1_000_000L;
		int sending = 0;
		for (Thread client : clients) {
			client.join(Math.max(1, (last - System.nanoTime()) / 1_000_000));
			sending += client.isAlive() ? 1 : 0;
		}
		this.journal.add("clients that still wait for their body to be read, not counted: %d", sending);
		this.journal.add("answered: %d, closed: %d, longer than the route's timeout: %d, of them without a final"
				+ " answer %d ms after it: %d", this.answered, this.closed, this.outlasting, ANSWER_MILLIS, this.unanswered);
		for (String node : nodes) {
			this.journal.add("%s %s", node, this.platform.running().contains(node) ? "runs" : "has ended by itself");
			operator.read(node);
		}
		this.journal.add("%s", this.platform.errors("a"));
		return (this.unanswered >= TOO_MANY && this.unanswered * 4 > this.outlasting) ? 1 : 0;
	}

	private void sendSmall(String name, long end) {
		for (int i = 0; System.nanoTime() < end; i++) {
			try (Socket socket = connect()) {
				while (System.nanoTime() < end && exchange(socket, name + "-" + i++, SMALL_BYTES)) {
					Thread.sleep(20);
				}
			}
			catch (IOException | InterruptedException ex) {
				this.journal.add("client %s: no connection (%s)", name, ex.getMessage());
				pause();
			}
		}
	}

	// Sends a small request first, so that the connection is a kept one, and then the
	// large one; once more if the connection was closed without an answer.
	private void sendLarge(String name, int bytes, CountDownLatch ready) {
		boolean first = true;
		for (int attempt = 1; attempt <= 2; attempt++) {
			try (Socket socket = connect()) {
				if (first) {
					exchange(socket, name + "-first", SMALL_BYTES);
					ready.countDown();
					ready.await();
					first = false;
				}
				if (exchange(socket, name + "-" + attempt, bytes)) {
					return;
				}
			}
			catch (IOException | InterruptedException ex) {
				this.journal.add("client %s: no connection (%s)", name, ex.getMessage());
				pause();
			}
		}
		if (first) {
			ready.countDown();
		}
	}

	private static void pause() {
		try {
			Thread.sleep(100);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket();
		socket.connect(new InetSocketAddress(this.platform.address("a"), Platform.FRONT), 1000);
		return socket;
	}

	// Returns whether the request was answered.
	private boolean exchange(Socket socket, String id, int bytes) {
		long sentAt = System.nanoTime();
		String outcome;
		boolean inTime = false;
		try {
			socket.setSoTimeout(TIMEOUT_MILLIS + ANSWER_MILLIS);
			OutputStream out = socket.getOutputStream();
			out.write(("POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Comfreywall-Attempt-Id: " + id
					+ "\r\nX-Comfreywall-Deadline-Ms: " + TIMEOUT_MILLIS + "\r\nContent-Length: " + bytes + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			out.write(new byte[bytes]);
			out.flush();
			sentAt = System.nanoTime();
			Http.Message answer = Http.read(socket.getInputStream());
			inTime = answer != null;
			outcome = inTime ? answer.first() : "closed";
		}
		catch (SocketTimeoutException ex) {
			outcome = "no answer";
		}
		catch (IOException ex) {
			outcome = "closed (" + ex.getMessage() + ")";
		}
		long millis = (System.nanoTime() - sentAt) / 1_000_000;
		this.journal.add("client %s, %d bytes: %s after %d ms", id, bytes, outcome, millis);
		count(inTime, outcome.equals("no answer"), millis > TIMEOUT_MILLIS);
		return inTime;
	}

	private synchronized void count(boolean inTime, boolean none, boolean late) {
		this.answered += inTime ? 1 : 0;
		this.unanswered += none ? 1 : 0;
		this.closed += (inTime || none) ? 0 : 1;
		this.outlasting += late ? 1 : 0;
	}

}
