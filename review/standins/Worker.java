import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A backend server as the pages describe it: it sends heartbeats, checks the instance that
 * a request expects, echoes the identifier of the request and signs its answers.
 */
final class Worker implements AutoCloseable {

	/** What the worker received. */
	static final class Request {

		String method;

		String path;

		final Map<String, String> headers = new HashMap<>();

		byte[] body = new byte[0];

		String id() {
			return header("X-Comfreywall-Attempt-Id");
		}

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

	}

	/** Decides what happens to a request that the worker runs. */
	interface Work {

		/** Returns the status to answer with, or a negative number for another action. */
		int run(Worker worker, Request request) throws Exception;

	}

	/** The worker's process ends: all its connections are reset. */
	static final int CRASH = -1;

	/** The worker's machine goes dark: nothing is answered, nothing is reset. */
	static final int GO_DARK = -2;

	/** Nothing is answered to this request. */
	static final int MUTE = -3;

	final Rig rig;

	final String service;

	final String ip;

	final int port;

	final List<Rig.Front> nodes;

	final Work work;

	final long restartMillis;

	volatile String id;

	volatile long born;

	private volatile int starts;

	private volatile boolean up;

	private volatile boolean closed;

	private volatile long heartbeatsAcknowledged;

	private ServerSocket listening;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private final String name;

	Worker(Rig rig, String service, int index, List<Rig.Front> nodes, long restartMillis, Work work)
			throws IOException {
		this.rig = rig;
		this.service = service;
		this.name = "i-" + service + "-" + index;
		this.ip = "127.2.0." + (index + 10);
		this.port = rig.basePort + 21;
		this.nodes = nodes;
		this.restartMillis = restartMillis;
		this.work = work;
		begin();
		Thread heartbeats = new Thread(this::heartbeats, "heartbeats-" + this.name);
		heartbeats.setDaemon(true);
		heartbeats.start();
	}

	private void begin() throws IOException {
		this.starts++;
		this.id = this.name + "-" + this.starts;
		this.born = System.currentTimeMillis();
		if (this.listening != null && !this.listening.isClosed()) {
			// The machine was dark. What was sent to it meanwhile stays unanswered.
			this.up = true;
			return;
		}
		ServerSocket socket = new ServerSocket();
		socket.setReuseAddress(true);
		socket.bind(new InetSocketAddress(InetAddress.getByName(this.ip), this.port), 256);
		this.listening = socket;
		this.up = true;
		Thread accepting = new Thread(() -> accept(socket), "accept-" + this.name);
		accepting.setDaemon(true);
		accepting.start();
	}

	boolean isAcknowledged() {
		return this.heartbeatsAcknowledged >= this.nodes.size();
	}

	private void heartbeats() {
		long sequence = 0;
		int turn = this.ip.hashCode() & 0xff;
		while (!this.closed) {
			if (this.up) {
				sequence++;
				String body = String.format(Locale.ROOT,
						"{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":8,"
								+ "\"state\":\"ready\",\"cold_left_ms\":0,\"born\":%d,\"seq\":%d}",
						this.service, this.ip, this.port, this.born, sequence);
				for (int i = 0; i < this.nodes.size(); i++) {
					turn++;
					if (this.rig.post(this.nodes.get(turn % this.nodes.size()), "/v1/instances/" + this.id + "/heartbeat",
							body) == 200) {
						this.heartbeatsAcknowledged++;
						break;
					}
				}
			}
			try {
				Thread.sleep(1200);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void accept(ServerSocket socket) {
		while (!socket.isClosed()) {
			try {
				Socket caller = socket.accept();
				this.open.add(caller);
				Thread serving = new Thread(() -> serve(caller), "serve-" + this.name);
				serving.setDaemon(true);
				serving.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket caller) {
		String serving = this.id;
		try {
			InputStream in = new BufferedInputStream(caller.getInputStream());
			OutputStream out = caller.getOutputStream();
			while (true) {
				Request request = read(in);
				if (!this.up || !serving.equals(this.id)) {
					return;
				}
				String expected = request.header("X-Comfreywall-Expect-Instance");
				if (expected != null && !expected.equals(this.id)) {
					answer(out, request, 421, "X-Comfreywall-Not-Run: 1\r\n", "");
					continue;
				}
				int status = this.work.run(this, request);
				if (status == CRASH || status == GO_DARK) {
					end(status == CRASH);
					return;
				}
				if (status == MUTE) {
					continue;
				}
				answer(out, request, status, "X-Comfreywall-Response-Seal: " + request.id() + ".seal\r\n",
						"answer to " + request.id() + "\n");
			}
		}
		catch (Exception ex) {
			this.open.remove(caller);
			try {
				caller.close();
			}
			catch (IOException ignored) {
				return;
			}
		}
	}

	static Request read(InputStream in) throws IOException {
		Request request = new Request();
		String[] first = Rig.Http.line(in).split(" ");
		request.method = first[0];
		request.path = first[1];
		Rig.Http.readHeaders(in, request.headers);
		String length = request.header("Content-Length");
		request.body = Rig.Http.bytes(in, (length != null) ? Integer.parseInt(length) : 0);
		return request;
	}

	private void answer(OutputStream out, Request request, int status, String headers, String body)
			throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		String head = "HTTP/1.1 " + status + " Status\r\nX-Comfreywall-Attempt-Id: " + request.id() + "\r\n" + headers
				+ "X-Comfreywall-Load: 0,0,8\r\nContent-Type: text/plain\r\nContent-Length: " + bytes.length
				+ "\r\n\r\n";
		byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[start.length + bytes.length];
		System.arraycopy(start, 0, all, 0, start.length);
		System.arraycopy(bytes, 0, all, start.length, bytes.length);
		out.write(all);
		out.flush();
	}

	/** The worker ends and is back after some seconds as a new incarnation. */
	synchronized void end(boolean reset) throws IOException {
		if (!this.up) {
			return;
		}
		this.up = false;
		if (reset) {
			this.listening.close();
			for (Socket socket : this.open) {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			this.open.clear();
		}
		Thread restart = new Thread(() -> {
			try {
				Thread.sleep(this.restartMillis);
				if (!this.closed) {
					begin();
				}
			}
			catch (IOException | InterruptedException ex) {
				this.rig.note("worker not restarted: " + ex);
			}
		});
		restart.setDaemon(true);
		restart.start();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listening.close();
	}

}
