import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Twelve clients of each machine send requests inside the limits, one after the other,
 * whose prefix header names a long part of the prompt. No two requests share a part.
 */
final class CaseLongParts {

	private static final int CLIENTS = 12;

	/** For each machine. */
	private static final int REQUESTS = 14000;

	/** The headers stay below max_header_bytes, 16,384. */
	private static final int PART_CHARS = 15000;

	private static final long SENDING_NANOS = 65_000_000_000L;

	/** The clients leave if none of them was served for this time. */
	private static final long STUCK_NANOS = 20_000_000_000L;

	/** recovery_s, after the clients have left. */
	private static final long RECOVERY_MILLIS = 12000;

	private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
			+ "\"path_prefix\":\"/look/\",\"kind\":\"safe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":1,"
			+ "\"service\":\"desk\",\"attempts\":2,\"public\":true}],\"services\":[{\"name\":\"desk\","
			+ "\"health_path\":\"/health\",\"max_conns\":268,\"protocol\":\"h1\",\"tls\":false}],"
			+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
			+ "\"idle_timeout_ms\":15000}}";

	private CaseLongParts() {
	}

	public static void main(String[] args) throws Exception {
		Rig.main(args, CaseLongParts::run);
	}

	private static int run(Rig rig) throws Exception {
		List<Rig.Front> fronts = rig.startFronts(3);
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			workers.add(rig.register(new Worker(rig, "desk", i, fronts, 1000, (self, request) -> 200)));
		}
		if (!rig.configure(fronts, CONFIGURATION, 30000)) {
			throw new Rig.CannotRunException("no configuration");
		}
		for (int i = 0; i < 200 && !(workers.stream().allMatch(Worker::isAcknowledged)
				&& fronts.stream().allMatch(Rig.Front::isReady)); i++) {
			Thread.sleep(100);
		}
		Thread.sleep(1500);
		if (ordinary(rig, fronts, "before", 1) < fronts.size()) {
			throw new Rig.CannotRunException("ordinary requests are not served");
		}
		long until = System.nanoTime() + SENDING_NANOS;
		List<Load> loads = fronts.stream().map((front) -> new Load(rig, front, until)).toList();
		while (loads.stream().anyMatch(Load::isRunning)) {
			Thread.sleep(2000);
			loads.forEach((load) -> rig.note(load.toString()));
		}
		rig.note("the clients have left");
		Thread.sleep(RECOVERY_MILLIS);
		int ended = 0;
		int hung = 0;
		for (Rig.Front front : fronts) {
			int served = ordinary(rig, List.of(front), "after", 2);
			if (!front.process.isAlive()) {
				ended++;
			}
			else if (served == 0) {
				hung++;
			}
		}
		rig.note("processes that ended by themselves: " + ended + " of " + fronts.size()
				+ "; that live and answer no request: " + hung);
		for (Rig.Front front : fronts) {
			Files.readAllLines(front.logFile())
				.stream()
				.filter((line) -> line.contains("OutOfMemoryError"))
				.limit(2)
				.forEach((line) -> rig.note("log of " + front.name + ": " + line));
		}
		return (ended + hung > 0) ? Rig.BROKEN : Rig.HELD;
	}

	private static int ordinary(Rig rig, List<Rig.Front> fronts, String name, int count) throws InterruptedException {
		int served = 0;
		for (int i = 0; i < count * fronts.size(); i++) {
			Rig.Front front = fronts.get(i % fronts.size());
			String answer;
			try {
				int status = Rig.Http
					.call(front.ip, front.frontPort(), "GET", "/look/" + name,
							Map.of("Host", "h.example", "X-Comfreywall-Attempt-Id", name + i,
									"X-Comfreywall-Deadline-Ms", "2000"),
							new byte[0], 2500)
					.status;
				served += (status == 200) ? 1 : 0;
				answer = Integer.toString(status);
			}
			catch (IOException ex) {
				answer = "nothing: " + ex.getMessage();
			}
			rig.note("ordinary request " + name + i + " to " + front.name + " answered " + answer);
		}
		return served;
	}

	/** The clients of one machine. They leave once its process has ended. */
	private static final class Load {

		private final Rig rig;

		private final Rig.Front front;

		private final long until;

		private final AtomicInteger sent = new AtomicInteger();

		private final AtomicInteger served = new AtomicInteger();

		private final List<Thread> clients = new ArrayList<>();

		private volatile long servedAt = System.nanoTime();

		private long largestMb;

		Load(Rig rig, Rig.Front front, long until) {
			this.rig = rig;
			this.front = front;
			this.until = until;
			for (int i = 0; i < CLIENTS; i++) {
				Thread client = new Thread(this::send);
				client.setDaemon(true);
				client.start();
				this.clients.add(client);
			}
		}

		boolean isRunning() {
			return this.clients.stream().anyMatch(Thread::isAlive);
		}

		private boolean goesOn() {
			long now = System.nanoTime();
			return now < this.until && now - this.servedAt < STUCK_NANOS && this.sent.get() < REQUESTS && this.front.process.isAlive();
		}

		private void send() {
			String filler = "0123456789abcdef".repeat(PART_CHARS / 16);
			while (goesOn()) {
				try (Socket socket = new Socket()) {
					socket.connect(new InetSocketAddress(InetAddress.getByName(this.front.ip), this.front.frontPort()),
							1000);
					socket.setSoTimeout(4500);
					socket.setTcpNoDelay(true);
					BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
					while (goesOn()) {
						int number = this.sent.getAndIncrement();
						String part = String.format("%08x", number) + (this.rig.trouble ? filler : "");
						String head = "GET /look/" + number % 50 + " HTTP/1.1\r\nHost: h.example\r\n"
								+ "X-Comfreywall-Attempt-Id: l" + this.front.index + "-" + number
								+ "\r\nX-Comfreywall-Deadline-Ms: 4000\r\nX-Comfreywall-Prefix-Hash: " + part
								+ ":800,ab12:40\r\n\r\n";
						socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
						if (Rig.Http.read(in).status == 200) {
							this.served.incrementAndGet();
							this.servedAt = System.nanoTime();
						}
					}
				}
				catch (IOException ex) {
					try {
						Thread.sleep(100);
					}
					catch (InterruptedException interrupted) {
						return;
					}
				}
			}
		}

		@Override
		public String toString() {
			this.largestMb = Math.max(this.largestMb, residentMb(this.front));
			return this.front.name + ": sent " + this.sent + ", served " + this.served + ", largest resident MB "
					+ this.largestMb + ", process lives: " + this.front.process.isAlive();
		}

	}

	private static long residentMb(Rig.Front front) {
		try {
			for (String line : Files
				.readAllLines(Path.of("/proc/" + front.process.pid() + "/status"))) {
				if (line.startsWith("VmRSS:")) {
					return Long.parseLong(line.replaceAll("\\D", "")) >> 10;
				}
			}
		}
		catch (IOException ex) {
			return 0;
		}
		return 0;
	}

}
