package review;

import java.util.List;

/**
 * A machine with a disk is replaced as planned, its successor has had catch_up_s, and
 * then another machine with a disk loses it and comes back empty.
 */
public final class ReplacedMachine {

	private static final String ROUTES = "\"routes\":[{\"name\":\"r-a\",\"host\":\"a.example\",\"path_prefix\":\"/a/\","
			+ "\"kind\":\"safe\",\"timeout_ms\":800,\"slo_ms\":300,\"priority\":1,\"service\":\"s-a\",\"attempts\":2,"
			+ "\"public\":true}],\"services\":[{\"name\":\"s-a\",\"health_path\":\"/health\",\"max_conns\":100,"
			+ "\"protocol\":\"h1\",\"tls\":false}]";

	private static final int CATCH_UP_MILLIS = 4000;

	private static final int RECOVERY_SECONDS = 12;

	private ReplacedMachine() {
	}

	public static void main(String[] args) {
		Case.main(args[0], ReplacedMachine::run);
	}

	static int run(Platform platform, Journal journal, boolean trouble) throws Exception {
		List<String> first = List.of("a", "b", "c");
		for (String node : first) {
			platform.start(node, true, true, first);
		}
		Operator operator = new Operator(platform, journal, ROUTES);
		if (!operator.replace(10, first, 20)) {
			journal.add("the fleet does not start");
			return 2;
		}
		// The successor first, then SIGTERM to the machine that it replaces.
		platform.start("d", true, false, first);
		Thread.sleep(CATCH_UP_MILLIS);
		platform.signal("a", "TERM");
		if (!platform.waitForExit("a", 8)) {
			platform.signal("a", "KILL");
		}
		// The successor has had its time before the machine left, so that one no longer
		// counts; half a second more is on the safe side.
		Thread.sleep(500);
		if (!operator.replace(20, List.of("b", "c", "d"), 10)) {
			journal.add("no configuration is acknowledged after the replacement");
			return 2;
		}
		if (trouble) {
			platform.signal("b", "KILL");
			platform.loseDisk("b");
			Thread.sleep(1000);
			platform.start("b", true, false, List.of("b", "c", "d"));
		}
		// Twice recovery_s and some more for the one machine that was lost.
		Thread.sleep(2 * RECOVERY_SECONDS * 1000);
		List<String> last = List.of("b", "c", "d");
		long best = -1;
		for (int i = 0; i < 15 && best < 20; i++) {
			best = Math.max(best, operator.read(last.get(i % last.size())));
			Thread.sleep(500);
		}
		boolean accepted = operator.replace(30, last, 15);
		journal.add("read back: %s; a further configuration: %s", (best >= 0) ? "version " + best : "nothing",
				accepted ? "acknowledged" : "not acknowledged");
		return (best >= 20) ? 0 : 1;
	}

}
