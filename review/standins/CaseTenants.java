import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator sends a configuration whose tenants are not a list, so that it cannot be read
 * in full.
 */
final class CaseTenants {

	private static final String LIST = "[{\"name\":\"parish\",\"api_keys\":[\"k-right\"],\"priority\":1}]";

	private static final String TEXT = "\"tenants.json\"";

	/** config_ms, and a margin. */
	private static final long SETTLED_MILLIS = 2500;

	private CaseTenants() {
	}

	public static void main(String[] args) throws Exception {
		Rig.main(args, CaseTenants::run);
	}

	static String configuration(int version, String tenants) {
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
				+ "\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":1,"
				+ "\"service\":\"desk\",\"attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\","
				+ "\"health_path\":\"/health\",\"max_conns\":52,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
				+ "\"idle_timeout_ms\":15000},\"tenants\":" + tenants + "}";
	}

	private static int run(Rig rig) throws Exception {
		List<Rig.Front> fronts = rig.startFronts(3);
		Set<String> ran = ConcurrentHashMap.newKeySet();
		Worker worker = rig.register(new Worker(rig, "desk", 0, fronts, 1000, (self, request) -> {
			ran.add(request.id());
			rig.note("worker ran " + request.id() + " with tenant " + request.header("X-Comfreywall-Tenant"));
			return 200;
		}));
		if (!rig.configure(fronts, configuration(3, LIST), 30000)) {
			throw new Rig.CannotRunException("no configuration");
		}
		awaitReady(rig, fronts, worker);
		Thread.sleep(SETTLED_MILLIS);
		if (send(rig, fronts, "before", "k-right") != 3 || send(rig, fronts, "early", "k-never-held") != 0) {
			throw new Rig.CannotRunException("the first configuration is not in force");
		}
		int status = rig.post(fronts.get(1), "/v1/config/replace", configuration(5, rig.trouble ? TEXT : LIST));
		rig.note("version 5 with tenants " + (rig.trouble ? TEXT : LIST) + " answered " + status);
		Thread.sleep(SETTLED_MILLIS);
		send(rig, fronts, "right", "k-right");
		int foreign = send(rig, fronts, "foreign", "k-never-held");
		boolean ranForeign = ran.stream().anyMatch((id) -> id.startsWith("foreign"));
		boolean acknowledgedInvalid = rig.trouble && status == 200;
		rig.note("invalid configuration acknowledged: " + acknowledgedInvalid + "; requests with a key that no "
				+ "configuration held: " + foreign + " of 3 served, run by the worker: " + ranForeign);
		return (acknowledgedInvalid || ranForeign) ? Rig.BROKEN : Rig.HELD;
	}

	private static void awaitReady(Rig rig, List<Rig.Front> fronts, Worker worker) throws InterruptedException {
		for (int i = 0; i < 200; i++) {
			if (worker.isAcknowledged() && fronts.stream().allMatch(Rig.Front::isReady)) {
				return;
			}
			Thread.sleep(100);
		}
		throw new Rig.CannotRunException("not ready");
	}

	// Returns how many of three requests, one to each machine, were served.
	private static int send(Rig rig, List<Rig.Front> fronts, String name, String key) throws Exception {
		int served = 0;
		for (Rig.Front front : fronts) {
			String id = name + "-" + front.index;
			int status = Rig.Http
				.call(front.ip, front.frontPort(), "POST", "/book/" + name,
						Map.of("Host", "h.example", "X-Comfreywall-Attempt-Id", id, "X-Comfreywall-Deadline-Ms", "4000",
								"Api-Key", key),
						new byte[10], 5000)
				.status;
			rig.note("request " + id + " with key " + key + " answered " + status);
			served += (status == 200) ? 1 : 0;
		}
		return served;
	}

}
