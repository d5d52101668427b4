import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A configuration adds two tenants whose names differ in one letter that is not in ASCII.
 */
final class CaseTenantNames {

	/** config_ms, and a margin. */
	private static final long SETTLED_MILLIS = 2500;

	private CaseTenantNames() {
	}

	public static void main(String[] args) throws Exception {
		Rig.main(args, CaseTenantNames::run);
	}

	private static String configuration(int version, List<String> tenants) {
		List<String> all = new ArrayList<>();
		for (int i = 0; i < tenants.size(); i++) {
			all.add("{\"name\":\"" + tenants.get(i) + "\",\"api_keys\":[\"key-" + i + "\"],\"priority\":1}");
		}
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
				+ "\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":1,"
				+ "\"service\":\"desk\",\"attempts\":2,\"public\":false}],\"services\":[{\"name\":\"desk\","
				+ "\"health_path\":\"/health\",\"max_conns\":52,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
				+ "\"idle_timeout_ms\":15000},\"tenants\":[" + String.join(",", all) + "]}";
	}

	private static int run(Rig rig) throws Exception {
		List<Rig.Front> fronts = rig.startFronts(3);
		Map<String, String> tenants = new ConcurrentHashMap<>();
		Worker worker = rig.register(new Worker(rig, "desk", 0, fronts, 1000, (self, request) -> {
			tenants.put(request.id(), String.valueOf(request.header("X-Comfreywall-Tenant")));
			return 200;
		}));
		List<String> names = new ArrayList<>(List.of("parish"));
		if (!rig.configure(fronts, configuration(3, names), 30000)) {
			throw new Rig.CannotRunException("no configuration");
		}
		for (int i = 0; i < 200 && !(worker.isAcknowledged() && fronts.stream().allMatch(Rig.Front::isReady)); i++) {
			Thread.sleep(100);
		}
		names.addAll(rig.trouble ? List.of("Popel\u00e1\u0159 Brno", "Popel\u00e1\u010d Brno")
				: List.of("Popelar Brno", "Popelac Brno"));
		if (!rig.configure(fronts, configuration(5, names), 10000)) {
			throw new Rig.CannotRunException("the second configuration was not accepted");
		}
		rig.note("version 5 acknowledged, tenants " + names);
		Thread.sleep(SETTLED_MILLIS);
		boolean wrong = false;
		for (Rig.Front front : fronts) {
			for (int i = 0; i < names.size(); i++) {
				String id = "a" + front.index + "-" + i;
				int status = Rig.Http
					.call(front.ip, front.frontPort(), "POST", "/book/1",
							Map.of("Host", "h.example", "X-Comfreywall-Attempt-Id", id, "X-Comfreywall-Deadline-Ms",
									"4000", "Api-Key", "key-" + i),
							new byte[10], 5000)
					.status;
				String received = tenants.get(id);
				boolean right = isName(received, names.get(i));
				rig.note("request " + id + " of tenant " + names.get(i) + " answered " + status
						+ "; the worker was told tenant " + readable(received) + (right ? "" : " (wrong)"));
				if (status != 200) {
					throw new Rig.CannotRunException("a request with a key was not served");
				}
				wrong |= !right;
			}
			boolean same = tenants.get("a" + front.index + "-1").equals(tenants.get("a" + front.index + "-2"));
			rig.note("the worker can tell the two tenants apart: " + !same);
		}
		return wrong ? Rig.BROKEN : Rig.HELD;
	}

	// The stand-in reads each byte as one character. A name may arrive as UTF-8 or as
	// ISO 8859-1 or -2.
	private static boolean isName(String received, String name) {
		if (received == null) {
			return false;
		}
		byte[] bytes = received.getBytes(StandardCharsets.ISO_8859_1);
		return List.of("UTF-8", "ISO-8859-1", "ISO-8859-2")
			.stream()
			.anyMatch((charset) -> new String(bytes, java.nio.charset.Charset.forName(charset)).equals(name));
	}

	private static String readable(String received) {
		StringBuilder text = new StringBuilder();
		for (char next : String.valueOf(received).toCharArray()) {
			text.append((next < 128) ? String.valueOf(next) : String.format("\\x%02x", (int) next));
		}
		return text.toString();
	}

}
