import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A gateway freezes with an order of the operator that it has not read. The operator has
 * the order acknowledged elsewhere and then gives the opposite one.
 */
final class EvacCase {

	private static final int GATEWAYS = 4;

	private static final int FROZEN = 3;

	/** The disruption is repeated if the old order got lost. */
	private static final int ROUNDS = 4;

	private static final String ZONE = "z0";

	private static final double EVACUATE_SECONDS = 5;

	private final Fleet fleet;

	private volatile double forbiddenFrom = Double.MAX_VALUE;

	private final AtomicInteger broken = new AtomicInteger();

	private final AtomicInteger inZone = new AtomicInteger();

	private EvacCase(Fleet fleet) {
		this.fleet = fleet;
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Fleet fleet = new Fleet(Path.of(args[0]))) {
			exit = new EvacCase(fleet).run(trouble);
			fleet.note("exit %d", exit);
		}
		System.exit(exit);
	}

	private int run(boolean trouble) throws Exception {
		for (int i = 0; i < 6; i++) {
			new Worker(this.fleet, "app", "i-" + i, "z" + i % 3, i, GATEWAYS) {

				@Override
				void answer(Request request, Socket socket, OutputStream out) throws IOException {
					if (this.zone.equals(ZONE)) {
						EvacCase.this.inZone.incrementAndGet();
						if (EvacCase.this.fleet.seconds() > EvacCase.this.forbiddenFrom
								&& EvacCase.this.broken.incrementAndGet() <= 20) {
							EvacCase.this.fleet.note("BROKEN: %s reaches worker %s in %s", request.id(), this.id, this.zone);
						}
					}
					write(out, request, 200, new byte[800]);
				}

			};
		}
		this.fleet.startGateways(GATEWAYS, Texts.BOUNDS + "evacuate_ms = 5000\n");
		if (!this.fleet.configure(Texts.APP, GATEWAYS, 25) || !this.fleet.awaitReady(GATEWAYS, 30)) {
			return 2;
		}
		Thread.sleep(4000);
		Worker.daemon(this::sendRequests);
		Thread.sleep(2000);
		if (this.inZone.get() == 0) {
			return 2;
		}
		for (int round = 1; round <= ROUNDS && this.broken.get() == 0; round++) {
			this.fleet.note("round %d", round);
			if (!evacuateTwice(trouble)) {
				return 2;
			}
		}
		this.fleet.note("requests that reached %s: %d; too late: %d", ZONE, this.inZone.get(), this.broken.get());
		return (this.broken.get() > 0) ? 1 : 0;
	}

	private boolean evacuateTwice(boolean trouble) throws Exception {
		if (!order("start", 0)) {
			return false;
		}
		Thread.sleep(4000);
		if (trouble) {
			this.fleet.signal("front-z" + FROZEN, "STOP");
		}
		boolean ended = order("finish", FROZEN);
		Thread.sleep(50);
		boolean started = ended && order("start", 0);
		if (trouble) {
			this.fleet.signal("front-z" + FROZEN, "CONT");
		}
		if (!started) {
			return false;
		}
		this.forbiddenFrom = this.fleet.seconds() + EVACUATE_SECONDS;
		this.fleet.note("from %.3f s on no request may reach %s", this.forbiddenFrom, ZONE);
		Thread.sleep(10_000);
		this.forbiddenFrom = Double.MAX_VALUE;
		boolean takenBack = order("finish", 0);
		Thread.sleep(1000);
		return takenBack;
	}

	// Sends an order as an operator does: a second for a response, then the next gateway.
	private boolean order(String action, int first) throws InterruptedException {
		for (int i = 0; i < 2 * GATEWAYS; i++) {
			int gateway = (first + i) % GATEWAYS;
			String status = "no response";
			try (Socket socket = new Socket()) {
				socket.setSoTimeout(1000);
				socket.connect(new InetSocketAddress(this.fleet.gatewayIp(gateway), this.fleet.ports[Fleet.CONTROL]), 1000);
				socket.getOutputStream()
					.write(("POST /v1/evacuate/" + ZONE + "/" + action + " HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n"
							+ "Connection: close\r\n\r\n")
						.getBytes(StandardCharsets.US_ASCII));
				status = String.valueOf(Worker.line(socket.getInputStream()));
			}
			catch (IOException ex) {
				status = ex.toString();
			}
			this.fleet.note("order %s %s to front-z%d: %s", action, ZONE, gateway, status);
			if (status.contains(" 200 ")) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	// At the gateways that are never disturbed.
	private void sendRequests() {
		for (int i = 0; true; i++) {
			String id = String.format("%016x", 0x5c41d07be2a30000L + i);
			int gateway = i % FROZEN;
			Fleet.call("GET", this.fleet.gatewayIp(gateway) + ":" + this.fleet.ports[Fleet.FRONT], "/a/x", null, 2000,
					Map.of("Host", "a.example", "X-Comfreywall-Attempt-Id", id, "X-Comfreywall-Deadline-Ms", "2000"));
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

}
