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
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Servers answer with streams that have no length and end with their connection. Some
 * end in the middle of an event, as their server stops there.
 */
public final class BrokenStream {

	private static final int EVENTS = 20;

	/** The last event that a stream that is broken off holds whole. */
	private static final int WHOLE_EVENTS = 12;

	private static final int STREAMS = 60;

	private final Journal journal;

	private final Platform platform;

	private int complete;

	private int brokenOff;

	private int falselyComplete;

	private BrokenStream(Journal journal, Platform platform) {
		this.journal = journal;
		this.platform = platform;
	}

	public static void main(String[] args) {
		Case.main(args[0], (platform, journal, trouble) -> new BrokenStream(journal, platform).run(trouble));
	}

	private static String routes() {
		String route = "{\"name\":\"%1$s\",\"host\":\"a.example\",\"path_prefix\":\"/%1$s/\",\"kind\":\"stream\","
				+ "\"timeout_ms\":8000,\"slo_ms\":401,\"priority\":1,\"service\":\"s-a\",\"attempts\":2,"
				+ "\"public\":true,\"resumable\":%2$b,\"gap_target_ms\":120}";
		return "\"routes\":[" + route.formatted("resumable", true) + "," + route.formatted("plain", false)
				+ "],\"services\":[{\"name\":\"s-a\",\"health_path\":\"/health\",\"max_conns\":268,"
				+ "\"protocol\":\"h1\",\"tls\":false}]";
	}

	private int run(boolean trouble) throws Exception {
		List<String> nodes = List.of("a", "b", "c");
		for (String node : nodes) {
			this.platform.start(node, true, true, nodes);
		}
		Operator operator = new Operator(this.platform, this.journal, routes());
		if (!operator.replace(10, nodes, 20)) {
			return 2;
		}
		List<StreamServer> servers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			// Only the first one stops in the middle of its streams.
			servers.add(new StreamServer("w" + i, nodes, trouble && i == 0));
		}
		Thread.sleep(5000);
		for (int i = 0; i < STREAMS; i++) {
			String id = "r" + i;
			String node = nodes.get(i % nodes.size());
			exchange(node, (i % 2 == 0) ? "resumable" : "plain", id);
		}
		this.journal.add("streams: %d complete with all events, %d broken off, %d ended as complete before the last"
				+ " event", this.complete, this.brokenOff, this.falselyComplete);
		if (this.complete == 0) {
			return 2;
		}
		return (this.falselyComplete > 0) ? 1 : 0;
	}

	private void exchange(String node, String route, String id) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.platform.address(node), Platform.FRONT), 1000);
			socket.setSoTimeout(9000);
			OutputStream out = socket.getOutputStream();
			out.write(("POST /" + route + "/x HTTP/1.1\r\nHost: a.example\r\nX-Comfreywall-Attempt-Id: " + id
					+ "\r\nX-Comfreywall-Deadline-Ms: 8000\r\nContent-Length: 2\r\n\r\nhi")
				.getBytes(StandardCharsets.US_ASCII));
			out.flush();
			Http.Message answer = Http.read(socket.getInputStream());
			if (answer == null) {
				throw new EOFException("closed without an answer");
			}
			boolean whole = answer.status() == 200 && answer.text().endsWith("id: " + EVENTS + "\ndata: x\n\n");
			String last = answer.text().substring(Math.max(0, answer.text().length() - 20)).replace("\n", "\\n");
			this.journal.add("client %s at %s, route %s: %s, complete answer of %d bytes, ends with \"%s\"", id, node,
					route, answer.first(), answer.body().length, last);
			if (whole) {
				this.complete++;
			}
			else if (answer.status() == 200) {
				this.falselyComplete++;
			}
			else {
				this.brokenOff++;
			}
		}
		catch (EOFException | SocketTimeoutException ex) {
			this.brokenOff++;
			this.journal.add("client %s at %s, route %s: broken off (%s)", id, node, route, ex.getMessage());
		}
	}

	/** A server of streams without a length; it resumes after Last-Event-Id. */
	private final class StreamServer {

		private final String id;

		private final boolean stops;

		private final ServerSocket listener = new ServerSocket();

		private long seq;

		private final long born = System.currentTimeMillis();

		StreamServer(String id, List<String> nodes, boolean stops) throws IOException {
			this.id = id;
			this.stops = stops;
			String host = BrokenStream.this.platform.address(id);
			this.listener.bind(new InetSocketAddress(InetAddress.getByName(host), Backend.PORT), 64);
			daemon(() -> {
				while (true) {
					Socket socket = this.listener.accept();
					daemon(() -> serve(socket));
				}
			});
			daemon(() -> {
				for (int i = 0;; i++) {
					String body = ("{\"service\":\"s-a\",\"address\":\"%s:%d\",\"zone\":\"north\",\"version\":\"v1\","
							+ "\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":%d,\"seq\":%d}").formatted(
									host, Backend.PORT, this.born, ++this.seq);
					Http.call(BrokenStream.this.platform.address(nodes.get(i % nodes.size())), Platform.CONTROL,
							"POST /v1/instances/" + id + "/heartbeat HTTP/1.1", body.getBytes(StandardCharsets.UTF_8),
							1000);
					Thread.sleep(1200);
				}
			});
		}

		private void serve(Socket socket) throws Exception {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				Http.Message request = Http.read(in);
				if (request == null) {
					return;
				}
				String after = request.header("Last-Event-Id");
				int first = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
				String attempt = request.header("X-Comfreywall-Attempt-Id");
				BrokenStream.this.journal.add("%s runs %s from event %d%s", this.id, attempt, first,
						this.stops ? " and stops within event " + (WHOLE_EVENTS + 1) : "");
				OutputStream out = socket.getOutputStream();
				write(out, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Comfreywall-Attempt-Id: " + attempt
						+ "\r\nX-Comfreywall-Response-Seal: " + this.id + "." + attempt + "\r\n\r\n");
				for (int event = first; event <= EVENTS; event++) {
					if (this.stops && event > WHOLE_EVENTS) {
						write(out, "id: " + event + "\nda");
						return;
					}
					write(out, "id: " + event + "\ndata: x\n\n");
					Thread.sleep(5);
				}
			}
		}

		private void write(OutputStream out, String text) throws IOException {
			out.write(text.getBytes(StandardCharsets.US_ASCII));
			out.flush();
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
				// The connection or the test has ended.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

}
