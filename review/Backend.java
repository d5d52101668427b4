package review;

import java.io.BufferedInputStream;
import java.io.IOException;
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
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in for a sound backend server: announces itself, keeps connections, runs as many
 * requests at once as it has slots, queues some and rejects the rest without running
 * them. It records the requests that it ran.
 */
public final class Backend implements AutoCloseable {

	public static final int PORT = 8080;

	/** Computes the answer's body for a request; may take its time. */
	public interface Work {

		byte[] run(Http.Message request) throws Exception;

	}

	private final Platform platform;

	private final Journal journal;

	private final String id;

	private final String service;

	private final int slots;

	private final Work work;

	private final String host;

	private final ServerSocket listener;

	private final Semaphore free;

	private final AtomicInteger waiting = new AtomicInteger();

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final List<String> ran = new ArrayList<>();

	private final long born = System.currentTimeMillis();

	private long seq;

	private volatile String state = "ready";

	private volatile boolean left;

	private volatile boolean closed;

	public Backend(Platform platform, Journal journal, String id, String service, int slots, Work work)
			throws IOException {
		this.platform = platform;
		this.journal = journal;
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.work = work;
		this.free = new Semaphore(slots, true);
		this.host = platform.address(id);
		this.listener = new ServerSocket();
		this.listener.setReuseAddress(true);
		this.listener.bind(new InetSocketAddress(InetAddress.getByName(this.host), PORT), 512);
		background(this::accept);
	}

	/** Sends heartbeats to the nodes from now on. */
	public void announce(List<String> nodes) {
		background(() -> {
			for (int i = 0; !this.closed && !this.left; i++) {
				if (beat(nodes.get(i % nodes.size()))) {
					i--;
					Thread.sleep(1200);
				}
				else {
					Thread.sleep(100);
				}
			}
		});
	}

	/** Sends one heartbeat and returns whether it was acknowledged. */
	public boolean beat(String node) {
		return send(heartbeat(), node);
	}

	/** Returns the body of the next heartbeat. */
	public synchronized String heartbeat() {
		return ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":%d,"
				+ "\"state\":\"%s\",\"cold_left_ms\":0,\"born\":%d,\"seq\":%d}").formatted(this.service, this.host,
						PORT, this.slots, this.state, this.born, ++this.seq);
	}

	/** Sends the body of a heartbeat and returns whether it was acknowledged. */
	public boolean send(String heartbeat, String node) {
		return call(node, "heartbeat", heartbeat);
	}

	/** Sends a leave, stops the heartbeats, and returns whether it was acknowledged. */
	public boolean leave(String node) {
		this.left = true;
		return call(node, "leave", "{\"born\":%d,\"seq\":%d}".formatted(this.born, ++this.seq));
	}

	private boolean call(String node, String name, String body) {
		Http.Message answer = Http.call(this.platform.address(node), Platform.CONTROL,
				"POST /v1/instances/" + this.id + "/" + name + " HTTP/1.1", body.getBytes(StandardCharsets.UTF_8),
				1000);
		return answer != null && answer.status() / 100 == 2;
	}

	public void drain() {
		this.state = "draining";
	}

	/** Returns the identifiers of the requests that this server began to run. */
	public List<String> ran() {
		synchronized (this.ran) {
			return List.copyOf(this.ran);
		}
	}

	private void accept() throws IOException {
		while (!this.closed) {
			Socket socket = this.listener.accept();
			this.sockets.add(socket);
			background(() -> serve(socket));
		}
	}

	private void serve(Socket socket) throws Exception {
		try (socket) {
			socket.setTcpNoDelay(true);
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
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
			write(out, "421 Misdirected Request", attempt, "X-Comfreywall-Not-Run: 1\r\n", new byte[0]);
			return;
		}
		if (this.waiting.incrementAndGet() > this.slots + 24) {
			this.waiting.decrementAndGet();
			write(out, "503 Service Unavailable", attempt, "X-Comfreywall-Not-Run: 1\r\n", new byte[0]);
			return;
		}
		this.free.acquire();
		try {
			synchronized (this.ran) {
				this.ran.add(attempt);
			}
			this.journal.add("%s runs %s (%d bytes)", this.id, attempt, request.body().length);
			byte[] body = this.work.run(request);
			write(out, "200 OK", attempt, "X-Comfreywall-Response-Seal: " + this.id + "." + attempt + "\r\n", body);
		}
		finally {
			this.free.release();
			this.waiting.decrementAndGet();
		}
	}

	private void write(OutputStream out, String status, String attempt, String headers, byte[] body)
			throws IOException {
		String head = "HTTP/1.1 " + status + "\r\nX-Comfreywall-Attempt-Id: " + attempt + "\r\n" + headers
				+ "Keep-Alive: timeout=30\r\nContent-Length: " + body.length + "\r\n\r\n";
		byte[] first = head.getBytes(StandardCharsets.US_ASCII);
		byte[] all = new byte[first.length + body.length];
		System.arraycopy(first, 0, all, 0, first.length);
		System.arraycopy(body, 0, all, first.length, body.length);
		out.write(all);
		out.flush();
	}

	private interface Task {

		void run() throws Exception;

	}

	private void background(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// The connection or this server has been closed.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.closed = true;
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

}
