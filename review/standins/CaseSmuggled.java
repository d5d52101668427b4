import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends a body that reads like a request, with a transfer coding that is not
 * chunked, so that the length of the body cannot be told.
 */
final class CaseSmuggled {

	private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
			+ "\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":1,"
			+ "\"service\":\"desk\",\"attempts\":2,\"public\":true}],\"services\":[{\"name\":\"desk\","
			+ "\"health_path\":\"/health\",\"max_conns\":52,\"protocol\":\"h1\",\"tls\":false}],"
			+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
			+ "\"idle_timeout_ms\":15000}}";

	private CaseSmuggled() {
	}

	public static void main(String[] args) throws Exception {
		Rig.main(args, CaseSmuggled::run);
	}

	private static int run(Rig rig) throws Exception {
		List<Rig.Front> fronts = rig.startFronts(3);
		Map<String, Integer> ran = new ConcurrentHashMap<>();
		Worker worker = rig.register(new Worker(rig, "desk", 0, fronts, 1000, (self, request) -> {
			ran.put(request.id(), request.body.length);
			rig.note("worker ran " + request.id() + ", " + request.method + " " + request.path + ", body of "
					+ request.body.length + " bytes");
			return 200;
		}));
		if (!rig.configure(fronts, CONFIGURATION, 30000)) {
			throw new Rig.CannotRunException("no configuration");
		}
		for (int i = 0; i < 200 && !(worker.isAcknowledged() && fronts.stream().allMatch(Rig.Front::isReady)); i++) {
			Thread.sleep(100);
		}
		Thread.sleep(1500);
		boolean smuggled = false;
		boolean changed = false;
		for (Rig.Front front : fronts) {
			String inner = "POST /book/inner HTTP/1.1\r\nHost: h.example\r\nX-Comfreywall-Attempt-Id: inner-"
					+ front.index + "\r\nContent-Length: 0\r\n\r\n";
			String framing = rig.trouble ? "Transfer-Encoding: gzip" : "Content-Length: " + inner.length();
			String outer = "POST /book/outer HTTP/1.1\r\nHost: h.example\r\nX-Comfreywall-Attempt-Id: outer-"
					+ front.index + "\r\nX-Comfreywall-Deadline-Ms: 4000\r\n" + framing + "\r\n\r\n" + inner;
			rig.note("sent outer-" + front.index + " with " + framing + " and a body of " + inner.length()
					+ " bytes that reads like a request");
			rig.note("answered: " + exchange(front, outer));
			Integer body = ran.get("outer-" + front.index);
			smuggled |= ran.containsKey("inner-" + front.index);
			changed |= body != null && body != inner.length();
			if (!rig.trouble && body == null) {
				throw new Rig.CannotRunException("a sound request was not run");
			}
		}
		rig.note("a request inside another one was run: " + smuggled + "; a request was run with another body: "
				+ changed);
		return (smuggled || changed) ? Rig.BROKEN : Rig.HELD;
	}

	private static String exchange(Rig.Front front, String bytes) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(InetAddress.getByName(front.ip), front.frontPort()), 1000);
			socket.setSoTimeout(800);
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			try {
				for (int next = socket.getInputStream().read(); next >= 0; next = socket.getInputStream().read()) {
					all.write(next);
				}
			}
			catch (IOException ex) {
				all.write(("<" + ex.getMessage() + ">").getBytes());
			}
			List<String> lines = new ArrayList<>();
			for (String line : all.toString().split("\r\n")) {
				if (line.startsWith("HTTP/") || line.startsWith("<") || line.startsWith("X-Comfreywall-Attempt")) {
					lines.add(line);
				}
			}
			return String.join(" | ", lines);
		}
	}

}
