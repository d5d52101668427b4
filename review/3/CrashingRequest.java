package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request crashes each server that begins to run it: the server writes the first event
 * of the stream and ends. The server is back after some seconds. The client sends the
 * request again, at one machine after the other.
 */
public final class CrashingRequest {

	private static final String ROUTES = "\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
			+ "\"kind\":\"stream\",\"timeout_ms\":8000,\"slo_ms\":401,\"priority\":1,\"service\":\"s-a\","
			+ "\"attempts\":2,\"public\":true,\"resumable\":true,\"gap_target_ms\":120}],\"services\":[{\"name\":\"s-a\","
			+ "\"health_path\":\"/health\",\"max_conns\":268,\"protocol\":\"h1\",\"tls\":false}]";

	private static final int SERVERS = 6;

	private static final int EVENTS = 12;

	/** Time before the first event, for the prompt. */
	private static final int PROMPT_MILLIS = 100;

	private static final int EVENT_MILLIS = 40;

	/** A crashed server is back after this time. */
	private static final int RESTART_MILLIS = 3000;

	private static final int REPEATS = 14;

	private static final int REPEAT_MILLIS = 3000;

	private static final int CONTACT_MILLIS = 3000;

	/** The crash that the rule counts from. */
	private static final int THIRD = 3;

	/** The retries that may still reach servers after that. */
	private static final int ALLOWED = 3;

	private static final String CRASHING = "{\"prompt\":\"crashing\"}";

	private final Journal journal;

	private final Platform platform;

	private final boolean trouble;

	/** Whether servers crash before they write anything; shows what is detected. */
	private final boolean early = "early".equals(System.getenv("CRASH"));

	private final List<Long> crashes = new ArrayList<>();

	private final Set<String> lateRetries = ConcurrentHashMap.newKeySet();

	private final AtomicInteger whole = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private volatile boolean stopping;

	private CrashingRequest(Journal journal, Platform platform, boolean trouble) {
		this.journal = journal;
		this.platform = platform;
		this.trouble = trouble;
	}

	public static void main(String[] args) {
		Case.main(args[0], (platform, journal, trouble) -> new CrashingRequest(journal, platform, trouble).run());
	}

	private int run() throws Exception {
		List<String> nodes = List.of("a", "b", "c");
		for (String node : nodes) {
			this.platform.start(node, true, true, nodes);
		}
		Operator operator = new Operator(this.platform, this.journal, ROUTES);
		if (!operator.replace(10, nodes, 20)) {
			return 2;
		}
		for (int i = 0; i < SERVERS; i++) {
			String name = "w" + i;
			String host = this.platform.address(name);
			daemon(() -> keepRunning(name, host, nodes));
		}
		// Longer than contact_ms, so that the machines are in touch.
		Thread.sleep(2 * CONTACT_MILLIS);
		for (String node : nodes) {
			daemon(() -> sendSoundRequests(node));
		}
		Thread.sleep(2000);
		int soundBefore = this.whole.get();
		int ended = 0;
		for (int i = 0; i < REPEATS; i++) {
			if (exchange(nodes.get(i % nodes.size()), "crashing-" + i, "p9:40,q9:600", CRASHING)) {
				ended++;
			}
			Thread.sleep(REPEAT_MILLIS);
		}
		this.stopping = true;
		Thread.sleep(1000);
		int crashed;
		synchronized (this.crashes) {
			crashed = this.crashes.size();
		}
		this.journal.add("the request was sent %d times and answered with a whole stream %d times; servers crashed: %d",
				REPEATS, ended, crashed);
		this.journal.add("retries that reached servers later than contact_ms after the third crash: %d",
				this.lateRetries.size());
		this.journal.add("other streams: %d whole, %d failed", this.whole.get(), this.failed.get());
		if (soundBefore == 0 || (!this.trouble && ended == 0) || (this.trouble && crashed == 0)) {
			return 2;
		}
		return (this.lateRetries.size() > ALLOWED) ? 1 : 0;
	}

	private void keepRunning(String name, String host, List<String> nodes) throws Exception {
		for (int start = 1; !this.stopping; start++) {
			Server server = new Server(name + "-" + start, host, nodes);
			server.awaitCrash();
			Thread.sleep(RESTART_MILLIS);
		}
	}

	private void sendSoundRequests(String node) throws Exception {
		for (int i = 0; !this.stopping; i++) {
			String body = "{\"prompt\":\"" + node + " " + i + "\"}";
			String parts = "p" + i % 5 + ":40,q-" + node + "-" + i + ":600";
			boolean complete = exchange(node, "sound-" + node + "-" + i, parts, body);
			(complete ? this.whole : this.failed).incrementAndGet();
			Thread.sleep(complete ? 200 : 500);
		}
	}

	/** Sends one request and returns whether its stream came whole. */
	private boolean exchange(String node, String id, String parts, String body) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.platform.address(node), Platform.FRONT), 1000);
			socket.setSoTimeout(9000);
			OutputStream out = socket.getOutputStream();
			write(out, "POST /a/x HTTP/1.1\r\nHost: a.example\r\nX-Comfreywall-Attempt-Id: " + id
					+ "\r\nX-Comfreywall-Deadline-Ms: 8000\r\nX-Comfreywall-Prefix-Hash: " + parts
					+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
			Http.Message answer = Http.read(socket.getInputStream());
			if (answer == null) {
				throw new EOFException("closed without an answer");
			}
			boolean complete = answer.status() == 200 && answer.text().endsWith("id: " + EVENTS + "\ndata: x\n\n");
			if (!complete || body.equals(CRASHING)) {
				this.journal.add("client %s at %s: %s, %s", id, node, answer.first(),
						complete ? "whole" : answer.headers());
			}
			return complete;
		}
		catch (IOException ex) {
			this.journal.add("client %s at %s: broken off (%s)", id, node, ex.getMessage());
			return false;
		}
	}

	private void recordArrival(String server, String attempt) {
		synchronized (this.crashes) {
			boolean late = this.crashes.size() >= THIRD
					&& System.nanoTime() - this.crashes.get(THIRD - 1) > CONTACT_MILLIS * 1_000_000L;
			if (late) {
				this.lateRetries.add(attempt);
			}
			this.journal.add("%s begins to run %s%s", server, attempt,
					late ? ", later than contact_ms after the third crash" : "");
		}
	}

	private void recordCrash(String server, String attempt) {
		synchronized (this.crashes) {
			this.crashes.add(System.nanoTime());
			this.journal.add("%s crashes on %s (crash %d)", server, attempt, this.crashes.size());
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	/** One incarnation of a server of streams in chunks; it resumes after Last-Event-Id. */
	private final class Server {

		private final String id;

		private final String host;

		private final ServerSocket listener = new ServerSocket();

		private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

		private final long born = System.currentTimeMillis();

		private boolean crashed;

		Server(String id, String host, List<String> nodes) throws IOException {
			this.id = id;
			this.host = host;
			this.listener.setReuseAddress(true);
			this.listener.bind(new InetSocketAddress(InetAddress.getByName(host), Backend.PORT), 64);
			daemon(this::accept);
			daemon(() -> announce(nodes));
		}

		synchronized void awaitCrash() throws InterruptedException {
			while (!this.crashed) {
				wait();
			}
		}

		private synchronized boolean hasCrashed() {
			return this.crashed;
		}

		private void announce(List<String> nodes) throws InterruptedException {
			for (int seq = 1; !hasCrashed(); seq++) {
				String body = ("{\"service\":\"s-a\",\"address\":\"%s:%d\",\"zone\":\"north\",\"version\":\"v1\","
						+ "\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":%d,\"seq\":%d}")
					.formatted(this.host, Backend.PORT, this.born, seq);
				Http.call(CrashingRequest.this.platform.address(nodes.get(seq % nodes.size())), Platform.CONTROL,
						"POST /v1/instances/" + this.id + "/heartbeat HTTP/1.1", body.getBytes(StandardCharsets.UTF_8),
						1000);
				Thread.sleep(1200);
			}
		}

		private void accept() throws IOException {
			while (true) {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				daemon(() -> serve(socket));
			}
		}

		private void serve(Socket socket) throws Exception {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
					answer(request, out);
				}
			}
			finally {
				this.sockets.remove(socket);
			}
		}

		private void answer(Http.Message request, OutputStream out) throws Exception {
			String attempt = request.header("X-Comfreywall-Attempt-Id");
			String expected = request.header("X-Comfreywall-Expect-Instance");
			if (!expected.isEmpty() && !expected.equals(this.id)) {
				write(out, "HTTP/1.1 421 Misdirected Request\r\nX-Comfreywall-Attempt-Id: " + attempt
						+ "\r\nX-Comfreywall-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
				return;
			}
			boolean crashing = request.text().equals(CRASHING);
			boolean crashes = crashing && CrashingRequest.this.trouble;
			if (crashing) {
				recordArrival(this.id, attempt);
			}
			Thread.sleep(PROMPT_MILLIS);
			if (crashes && CrashingRequest.this.early) {
				crash(attempt);
				return;
			}
			String after = request.header("Last-Event-Id");
			int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
			write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
					+ "\r\nKeep-Alive: timeout=30\r\nX-Comfreywall-Attempt-Id: " + attempt
					+ "\r\nX-Comfreywall-Response-Seal: " + this.id + "." + attempt + "\r\n\r\n");
			for (int event = first; event <= EVENTS; event++) {
				String text = "id: " + event + "\ndata: x\n\n";
				write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
				if (crashes) {
					crash(attempt);
					return;
				}
				Thread.sleep(EVENT_MILLIS);
			}
			write(out, "0\r\n\r\n");
		}

		private void crash(String attempt) throws IOException {
			synchronized (this) {
				if (this.crashed) {
					return;
				}
				this.crashed = true;
				notifyAll();
			}
			recordCrash(this.id, attempt);
			this.listener.close();
			for (Socket socket : this.sockets) {
				socket.close();
			}
		}

	}

	private interface Task {

		void run() throws Exception;

	}

	private static void daemon(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The connection, the server or the test has ended.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

}
