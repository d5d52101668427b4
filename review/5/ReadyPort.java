package review;

import java.util.List;

/** The platform gives the readiness checks one port or another, and starts three machines. */
public final class ReadyPort {

	private static final String ROUTES = "\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
			+ "\"kind\":\"safe\",\"timeout_ms\":800,\"slo_ms\":300,\"priority\":1,\"service\":\"s-a\",\"attempts\":2,"
			+ "\"public\":true}],\"services\":[{\"name\":\"s-a\",\"health_path\":\"/health\",\"max_conns\":100,"
			+ "\"protocol\":\"h1\",\"tls\":false}]";

	private ReadyPort() {
	}

	public static void main(String[] args) {
		Case.main(args[0], ReadyPort::run);
	}

	static int run(Platform platform, Journal journal, boolean trouble) throws Exception {
		int port = trouble ? 9464 : 9454;
		platform.readyPort(port);
		List<String> nodes = List.of("a", "b", "c");
		for (String node : nodes) {
			platform.start(node, true, true, nodes);
		}
		Operator operator = new Operator(platform, journal, ROUTES);
		boolean acknowledged = operator.replace(10, nodes, 20);
		journal.add("the configuration is %s", acknowledged ? "acknowledged" : "not acknowledged");
		Backend backend = new Backend(platform, journal, "w0", "s-a", 6, (request) -> new byte[800]);
		backend.announce(nodes);
		int served = 0;
		// As long as the platform waits before traffic starts, and some more.
		for (int i = 0; i < 20 && served < nodes.size(); i++) {
			Thread.sleep(1000);
			served = 0;
			for (String node : nodes) {
				Http.Message ready = Http.call(platform.address(node), port, "GET /v1/ready HTTP/1.1", new byte[0], 1000);
				Http.Message answer = Http.call(platform.address(node), Platform.FRONT,
						"GET /a/x HTTP/1.1\r\nHost: a.example\r\nX-Comfreywall-Attempt-Id: " + node + i
								+ "\r\nX-Comfreywall-Deadline-Ms: 800",
						new byte[0], 1000);
				journal.add("%s: ready %s, request %s", node, (ready != null) ? ready.first() : "no answer",
						(answer != null) ? answer.first() : "no connection");
				served += (answer != null && answer.status() == 200) ? 1 : 0;
			}
		}
		for (String node : nodes) {
			journal.add("%s", platform.errors(node));
		}
		journal.add("machines that serve: %d of %d", served, nodes.size());
		return (served == nodes.size()) ? 0 : 1;
	}

}
