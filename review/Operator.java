package review;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the operator: sends configurations and reads them back, at any node. */
public final class Operator {

	private static final Pattern VERSION = Pattern.compile("\"version\"\\s*:\\s*(\\d+)");

	private final Platform platform;

	private final Journal journal;

	private final String routes;

	/** Creates an operator whose configurations hold these routes and services as JSON. */
	public Operator(Platform platform, Journal journal, String routes) {
		this.platform = platform;
		this.journal = journal;
		this.routes = routes;
	}

	private String document(long version) {
		return "{\"version\":" + version + "," + this.routes
				+ ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
				+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
	}

	/** Sends a version to one node after the other until one acknowledges it. */
	public boolean replace(long version, List<String> nodes, int seconds) throws InterruptedException {
		long end = System.nanoTime() + seconds * 1_000_000_000L;
		byte[] body = document(version).getBytes(StandardCharsets.UTF_8);
		for (int i = 0; System.nanoTime() < end; i++) {
			String node = nodes.get(i % nodes.size());
			Http.Message answer = Http.call(this.platform.address(node), Platform.CONTROL,
					"POST /v1/config/replace HTTP/1.1", body, 1000);
			this.journal.add("operator sends version %d to %s: %s", version, node, status(answer));
			if (answer != null && answer.status() == 200) {
				return true;
			}
			Thread.sleep(200);
		}
		return false;
	}

	/** Reads the version at a node; -1 if there is no answer with status 200. */
	public long read(String node) {
		Http.Message answer = Http.call(this.platform.address(node), Platform.CONTROL, "GET /v1/config/get HTTP/1.1",
				new byte[0], 1000);
		long version = -1;
		if (answer != null && answer.status() == 200) {
			Matcher found = VERSION.matcher(answer.text());
			version = found.find() ? Long.parseLong(found.group(1)) : -1;
		}
		this.journal.add("operator reads at %s: %s%s", node, status(answer), (version >= 0) ? ", version " + version : "");
		return version;
	}

	private static String status(Http.Message answer) {
		return (answer != null) ? Integer.toString(answer.status()) : "no answer";
	}

}
