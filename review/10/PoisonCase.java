import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A request that crashes each worker that begins to run it comes again and again, while
 * all gateways are killed at the same moment now and then.
 */
final class PoisonCase {

	private static final int GATEWAYS = 3;

	private static final int WORKERS = 6;

	private static final int KILLS = 3;

	private static final int REPEATS_BETWEEN_KILLS = 5;

	private static final double CONTACT_SECONDS = 3;

	private static final double BACK_SECONDS = 3;

	private final Fleet fleet;

	private final List<Double> crashes = new CopyOnWriteArrayList<>();

	/** The repeats that reached a worker. */
	private final Set<String> reached = ConcurrentHashMap.newKeySet();

	private int sent;

	private int late;

	private PoisonCase(Fleet fleet) {
		this.fleet = fleet;
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Fleet fleet = new Fleet(Path.of(args[0]))) {
			exit = new PoisonCase(fleet).run(trouble);
			fleet.note("exit %d", exit);
		}
		System.exit(exit);
	}

	private int run(boolean trouble) throws Exception {
		for (int i = 0; i < WORKERS; i++) {
			new Worker(this.fleet, "app", "i-" + i, "z" + i % 3, i, GATEWAYS) {

				@Override
				void answer(Request request, Socket socket, OutputStream out) throws IOException {
					if (!request.target().contains("crash")) {
						write(out, request, 200, new byte[800]);
						return;
					}
					PoisonCase.this.reached.add(request.id());
					PoisonCase.this.crashes.add(PoisonCase.this.fleet.seconds());
					PoisonCase.this.fleet.note("worker %s begins to run %s and crashes (%d)", this.id, request.id(),
							PoisonCase.this.crashes.size());
					crash();
					String next = this.id.replaceAll("r.*", "") + "r" + PoisonCase.this.crashes.size();
					Worker.daemon(() -> {
						try {
							Thread.sleep((long) (BACK_SECONDS * 1000));
							restart(next);
						}
						catch (IOException | InterruptedException ex) {
							throw new IllegalStateException(ex);
						}
					});
				}

			};
		}
		this.fleet.startGateways(GATEWAYS, Texts.BOUNDS);
		if (!this.fleet.configure(Texts.APP, GATEWAYS, 20) || !this.fleet.awaitReady(GATEWAYS, 25)) {
			return 2;
		}
		Thread.sleep(3500);
		for (int kill = 0; kill <= KILLS && this.late <= 3; kill++) {
			if (kill > 0 && trouble) {
				killAll();
			}
			for (int i = 0; i < REPEATS_BETWEEN_KILLS; i++) {
				send();
				Thread.sleep(3000);
			}
		}
		this.fleet.note("repeats sent: %d, reached a worker: %d, of these later than %.0f s after the third crash: %d; "
				+ "crashes: %d", this.sent, this.reached.size(), CONTACT_SECONDS, this.late, this.crashes.size());
		return (this.late > 3) ? 1 : this.crashes.isEmpty() ? 2 : 0;
	}

	// The processes are back within a second; then they are given time to be in touch.
	private void killAll() throws Exception {
		List<Thread> kills = new ArrayList<>();
		for (int i = 0; i < GATEWAYS; i++) {
			String node = "front-z" + i;
			Thread kill = new Thread(() -> {
				try {
					this.fleet.kill(node);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
			kill.start();
			kills.add(kill);
		}
		for (Thread kill : kills) {
			kill.join();
		}
		Thread.sleep(300);
		for (int i = 0; i < GATEWAYS; i++) {
			this.fleet.start("front-z" + i, false);
		}
		Thread.sleep((long) (CONTACT_SECONDS * 1000) + 500);
		this.fleet.awaitReady(GATEWAYS, this.fleet.seconds() + 10);
		Thread.sleep(1000);
	}

	private void send() throws InterruptedException {
		String id = String.format("%016x", 0x77c41d07be2a3000L + this.sent);
		int gateway = this.sent++ % GATEWAYS;
		double at = this.fleet.seconds();
		Fleet.Answer answer = Fleet.call("GET", this.fleet.gatewayIp(gateway) + ":" + this.fleet.ports[Fleet.FRONT],
				"/a/crash?x=1", null, 2500,
				Map.of("Host", "a.example", "X-Comfreywall-Attempt-Id", id, "X-Comfreywall-Deadline-Ms", "2000"));
		boolean counts = this.reached.contains(id) && this.crashes.size() >= 3
				&& at > this.crashes.get(2) + CONTACT_SECONDS;
		this.late += counts ? 1 : 0;
		this.fleet.note("repeat %s at front-z%d: %d%s%s", id, gateway, answer.status(),
				this.reached.contains(id) ? ", reached a worker" : "", counts ? ", too late (" + this.late + ")" : "");
	}

}
