import java.util.List;
import java.util.Map;

/**
 * One process with a disk is killed while the whole system starts for the first time, and
 * is restarted a second later.
 */
final class CaseFirstStart {

	private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
			+ "\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":1,"
			+ "\"service\":\"desk\",\"attempts\":2,\"public\":true}],\"services\":[{\"name\":\"desk\","
			+ "\"health_path\":\"/health\",\"max_conns\":52,\"protocol\":\"h1\",\"tls\":false}],"
			+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
			+ "\"idle_timeout_ms\":15000}}";

	/** contact_ms, after which the core is stable. */
	private static final long CONTACT_MILLIS = 3000;

	/** The pages give ack_ms 4,000 and 3 ms for each route; here is much more. */
	private static final long ACK_MILLIS = 60000;

	private CaseFirstStart() {
	}

	public static void main(String[] args) throws Exception {
		Rig.main(args, CaseFirstStart::run);
	}

	private static int run(Rig rig) throws Exception {
		List<Rig.Front> fronts = rig.startFronts(3);
		Worker worker = rig.register(new Worker(rig, "desk", 0, fronts, 1000, (self, request) -> 200));
		if (rig.trouble) {
			Rig.Front first = fronts.get(0);
			if (!first.awaitLog("event=started", 20000)) {
				throw new Rig.CannotRunException("the process did not start");
			}
			first.kill();
			rig.note("killed " + first.name);
			Thread.sleep(1000);
			first.start(false);
		}
		Thread.sleep(CONTACT_MILLIS + 1000);
		for (Rig.Front front : fronts) {
			if (!front.process.isAlive()) {
				throw new Rig.CannotRunException(front.name + " has ended");
			}
		}
		long sent = System.nanoTime();
		boolean acknowledged = rig.configure(fronts, CONFIGURATION, ACK_MILLIS);
		rig.note("configuration acknowledged=" + acknowledged + " after "
				+ (System.nanoTime() - sent) / 1_000_000 + " ms");
		int served = 0;
		for (int i = 0; i < 30; i++) {
			Rig.Front front = fronts.get(i % fronts.size());
			int status;
			try {
				status = Rig.Http
					.call(front.ip, front.frontPort(), "POST", "/book/" + i, Map.of("Host", "h.example",
							"X-Comfreywall-Attempt-Id", "a" + i, "X-Comfreywall-Deadline-Ms", "4000"), new byte[10], 5000)
					.status;
			}
			catch (java.io.IOException ex) {
				status = 0;
			}
			rig.note("request a" + i + " to " + front.name + " answered " + status);
			served += (status == 200) ? 1 : 0;
			Thread.sleep(100);
		}
		rig.note("served " + served + " of 30; ready: "
				+ fronts.stream().map((front) -> front.name + "=" + front.isReady()).toList() + "; worker's heartbeats are"
				+ (worker.isAcknowledged() ? "" : " not") + " acknowledged");
		return (acknowledged && served > 0) ? Rig.HELD : Rig.BROKEN;
	}

}
