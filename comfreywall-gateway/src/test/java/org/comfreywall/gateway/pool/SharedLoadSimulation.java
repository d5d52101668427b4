package org.comfreywall.gateway.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;

/**
 * Simulates several entries that send requests to the same servers and exchange the
 * counts of their requests in flight five times a second.
 */
final class SharedLoadSimulation {

	private static final long MILLI = 1_000_000;

	private static final long UPDATE_INTERVAL_NANOS = 200 * MILLI;

	private final Random random;

	private final int slots;

	private final List<ServicePool> entries = new ArrayList<>();

	private final Map<String, Integer> running = new HashMap<>();

	private final PriorityQueue<Run> runs = new PriorityQueue<>((a, b) -> Long.compare(a.end, b.end));

	private int placed;

	private int sentToFull;

	private int refused;

	/**
	 * Creates entries and servers in four failure domains.
	 * @param entries the number of entries
	 * @param servers the number of servers
	 * @param slots the number of slots per server
	 * @param random the source of arrival and service times
	 */
	SharedLoadSimulation(int entries, int servers, int slots, Random random) {
		this.random = random;
		this.slots = slots;
		for (int entry = 0; entry < entries; entry++) {
			ServicePool pool = new ServicePool("d" + entry % 4, new Random(random.nextLong()));
			for (int server = 0; server < servers; server++) {
				pool.updateServer(new ServerAnnouncement("s" + server, "service",
						new HostPort("127.0.0.1", 1000 + server), "d" + server % 4, 1, 1, slots, ServerState.READY), 0);
			}
			this.entries.add(pool);
		}
	}

	/**
	 * Simulates Poisson arrivals.
	 * @param perSecond the arrivals per second over all entries
	 * @param service the mean service time of a request
	 * @param length the simulated time
	 */
	void simulate(double perSecond, Duration service, Duration length) {
		long now = 0;
		long nextUpdate = 0;
		while (now < length.toNanos()) {
			now += (long) (-Math.log(1 - this.random.nextDouble()) / perSecond * 1e9);
			while (nextUpdate <= now) {
				finish(nextUpdate);
				exchangeCounts(nextUpdate);
				nextUpdate += UPDATE_INTERVAL_NANOS;
			}
			finish(now);
			arrive(now, service);
		}
	}

	private void arrive(long now, Duration service) {
		ServicePool entry = this.entries.get(this.random.nextInt(this.entries.size()));
		WaitingRequest request = new WaitingRequest(this.placed + this.refused, 1, false, now, now, Set.of());
		if (!(entry.offer(request, now) instanceof SlotGranted granted)) {
			entry.cancelWaiting(request.id());
			this.refused++;
			return;
		}
		String server = granted.server().announcement().server();
		this.placed++;
		this.sentToFull += (this.running.merge(server, 1, Integer::sum) > this.slots) ? 1 : 0;
		long nanos = (long) (-Math.log(1 - this.random.nextDouble()) * service.toNanos());
		this.runs.add(new Run(entry, granted.server(), now + nanos));
	}

	private void finish(long now) {
		while (!this.runs.isEmpty() && this.runs.peek().end <= now) {
			Run run = this.runs.poll();
			run.entry.release(run.server, AttemptResult.ANSWERED, 100 * MILLI, run.end);
			this.running.merge(run.server.announcement().server(), -1, Integer::sum);
		}
	}

	private void exchangeCounts(long now) {
		for (ServicePool sender : this.entries) {
			Map<String, Integer> requests = new HashMap<>();
			sender.servers().forEach((server) -> requests.put(server.announcement().server(), server.inFlight()));
			this.entries.stream()
				.filter((entry) -> entry != sender)
				.forEach((entry) -> entry.updateInFlight("e" + this.entries.indexOf(sender), requests, now));
		}
	}

	/**
	 * Returns the share of requests that were sent to a server without a free slot.
	 * @return the share, from 0 to 1
	 */
	double fullServerShare() {
		return (double) this.sentToFull / this.placed;
	}

	int refused() {
		return this.refused;
	}

	private record Run(ServicePool entry, PoolServer server, long end) {
	}

}
