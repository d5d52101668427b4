import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A request ends each worker that begins to run it. With the disruption the worker's machine
 * goes dark, so that no connection is reset; without it the worker's process ends.
 */
final class CasePoison {

	private static final int WORKERS = 12;

	private static final long CONTACT_NANOS = 3_000_000_000L;

	private static final String CONFIGURATION = "{\"version\":3,\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","
			+ "\"path_prefix\":\"/look/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"slo_ms\":400,\"priority\":1,"
			+ "\"service\":\"desk\",\"attempts\":2,\"public\":true}],\"services\":[{\"name\":\"desk\","
			+ "\"health_path\":\"/health\",\"max_conns\":52,\"protocol\":\"h1\",\"tls\":false}],"
			+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
			+ "\"idle_timeout_ms\":15000}}";

	private CasePoison() {
	}

	public static void main(String[] args) throws Exception {
		Rig.main(args, CasePoison::run);
	}

	private static int run(Rig rig) throws Exception {
		List<Rig.Front> fronts = rig.startFronts(3);
		List<Long> ended = new CopyOnWriteArrayList<>();
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < WORKERS; i++) {
			workers.add(rig.register(new Worker(rig, "desk", i, fronts, 2000, (self, request) -> {
				if (request.path.equals("/look/poison")) {
					ended.add(System.nanoTime());
					rig.note("worker " + self.id + " began " + request.id() + " and "
							+ (rig.trouble ? "went dark" : "crashed"));
					return rig.trouble ? Worker.GO_DARK : Worker.CRASH;
				}
				Thread.sleep(40);
				return 200;
			})));
		}
		if (!rig.configure(fronts, CONFIGURATION, 30000)) {
			throw new Rig.CannotRunException("no configuration");
		}
		for (int i = 0; i < 200 && !(fronts.stream().allMatch(Rig.Front::isReady)
				&& workers.stream().allMatch(Worker::isAcknowledged)); i++) {
			Thread.sleep(100);
		}
		ExecutorService callers = Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		});
		// Ordinary requests.
		for (int c = 0; c < 6; c++) {
			int caller = c;
			callers.execute(() -> {
				for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
					call(rig, fronts.get((caller + i) % 3), "/look/" + caller, "o" + caller + "-" + i, false);
					try {
						Thread.sleep(200);
					}
					catch (InterruptedException ex) {
						return;
					}
				}
			});
		}
		Thread.sleep(2000);
		for (int i = 0; i < 20; i++) {
			String id = "p" + i;
			Rig.Front front = fronts.get(i % 3);
			callers.execute(() -> call(rig, front, "/look/poison", id, true));
			Thread.sleep(2500);
		}
		Thread.sleep(5000);
		callers.shutdownNow();
		int late = 0;
		if (ended.size() >= 3) {
			long third = ended.get(2);
			late = (int) ended.stream().filter((at) -> at - third > CONTACT_NANOS).count();
		}
		rig.note("the request ended " + ended.size() + " workers, " + late + " of them later than contact_ms after the "
				+ "third; three are allowed");
		return (late > 3) ? Rig.BROKEN : Rig.HELD;
	}

	private static void call(Rig rig, Rig.Front front, String path, String id, boolean noted) {
		String answer;
		try {
			Rig.Reply reply = Rig.Http.call(front.ip, front.frontPort(), "POST", path,
					Map.of("Host", "h.example", "X-Comfreywall-Attempt-Id", id, "X-Comfreywall-Deadline-Ms", "4000"),
					"body".getBytes(), 5000);
			answer = Integer.toString(reply.status);
		}
		catch (IOException ex) {
			answer = "nothing: " + ex.getMessage();
		}
		if (noted) {
			rig.note("request " + id + " to " + front.name + " answered " + answer);
		}
	}

}
