package org.comfreywall.bench.path;

import java.lang.management.ManagementFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import com.sun.management.OperatingSystemMXBean;
import org.HdrHistogram.Histogram;
import org.comfreywall.bench.BenchOptions;
import org.comfreywall.bench.Measurement;
import org.comfreywall.bench.Reporter;
import org.comfreywall.common.decision.Field;
import org.comfreywall.daemon.trial.Trial;

/**
 * Measures the latency that entry and sidecar add to streams, against direct streams from
 * the same simulated backend server, and processor time and memory.
 * <p>
 * Bookings run first, so that the JIT compiler has compiled the shared code before
 * streams are measured. Caller, entry, sidecar and backend server share one process, so
 * processor time and memory are upper bounds for the entry.
 */
public final class PathMeasurement implements Measurement {

	private static final Duration TOKEN_INTERVAL = Duration.ofMillis(5);

	private static final int TOKENS = 6;

	private static final int WARM_UP_STREAMS = 200;

	private static final int MEASURED_STREAMS = 300;

	private static final int BOOKINGS = 20_000;

	private static final int CONCURRENCY = 32;

	private static final int OPEN_STREAMS = 400;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double P50 = 50;

	private static final double P95 = 95;

	@Override
	public void run(BenchOptions options, Reporter reporter) throws Exception {
		HttpClient client = HttpClient.newHttpClient();
		try (Trial trial = new Trial(TOKEN_INTERVAL)) {
			measureBookings(client, trial, reporter);
			measureStreams(client, trial, reporter);
			measureMemory(client, trial, reporter);
		}
	}

	private static void measureStreams(HttpClient client, Trial trial, Reporter reporter) throws Exception {
		StreamProbe direct = new StreamProbe(client, trial.backend(), TOKENS);
		StreamProbe viaEntry = new StreamProbe(client, trial.entry(), TOKENS);
		for (int i = 0; i < WARM_UP_STREAMS + MEASURED_STREAMS; i++) {
			direct.stream(i >= WARM_UP_STREAMS);
			viaEntry.stream(i >= WARM_UP_STREAMS);
		}
		report(reporter, "direct", direct);
		report(reporter, "through-entry", viaEntry);
		reporter.atMost("added-first-token-p50-ms", added(viaEntry.firstToken(), direct.firstToken(), P50), 1);
		reporter.atMost("added-first-token-p95-ms", added(viaEntry.firstToken(), direct.firstToken(), P95), 3);
		reporter.atMost("added-between-tokens-p95-ms", added(viaEntry.betweenTokens(), direct.betweenTokens(), P95), 1);
	}

	private static void measureBookings(HttpClient client, Trial trial, Reporter reporter) throws Exception {
		OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		book(client, trial, BOOKINGS);
		long cpuBefore = system.getProcessCpuTime();
		long start = System.nanoTime();
		book(client, trial, BOOKINGS);
		double seconds = (System.nanoTime() - start) / 1e9;
		double coreMillis = (system.getProcessCpuTime() - cpuBefore) / NANOS_PER_MILLI / BOOKINGS;
		reporter.result("bookings", Field.of("count", BOOKINGS), Field.of("concurrency", CONCURRENCY),
				Field.of("requests-per-second", Math.round(BOOKINGS / seconds)),
				Field.of("core-ms-per-request", String.format("%.3f", coreMillis)),
				Field.of("requests-per-second-and-core", Math.round(1000 / coreMillis)));
	}

	private static void book(HttpClient client, Trial trial, int count) {
		for (int done = 0; done < count; done += CONCURRENCY) {
			List<CompletableFuture<?>> batch = new ArrayList<>();
			for (int i = 0; i < CONCURRENCY; i++) {
				batch.add(client.sendAsync(booking(trial.entry()), HttpResponse.BodyHandlers.discarding()));
			}
			batch.forEach(CompletableFuture::join);
		}
	}

	private static HttpRequest booking(URI entry) {
		String key = UUID.randomUUID().toString();
		return HttpRequest.newBuilder(entry.resolve("/booking/pickups"))
			.header("Authorization", "Bearer " + Trial.API_KEY)
			.header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("{\"key\":\"" + key + "\"}"))
			.build();
	}

	private static void measureMemory(HttpClient client, Trial trial, Reporter reporter) throws Exception {
		long before = usedBytes();
		List<CompletableFuture<?>> open = new ArrayList<>();
		for (int i = 0; i < OPEN_STREAMS; i++) {
			String body = "{\"model\":\"" + Trial.MODEL + "\",\"max_tokens\":2000,\"user\":\"" + i + "\"}";
			HttpRequest request = HttpRequest.newBuilder(trial.entry().resolve("/v1/chat/completions"))
				.header("Authorization", "Bearer " + Trial.API_KEY)
				.POST(HttpRequest.BodyPublishers.ofString(body))
				.build();
			open.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofLines()));
		}
		Thread.sleep(2000);
		long during = usedBytes();
		reporter.result("open-streams", Field.of("count", OPEN_STREAMS),
				Field.of("kib-per-stream", (during - before) / 1024 / OPEN_STREAMS));
		open.forEach((stream) -> stream.cancel(true));
	}

	private static long usedBytes() throws InterruptedException {
		System.gc();
		Thread.sleep(200);
		System.gc();
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static void report(Reporter reporter, String name, StreamProbe probe) {
		reporter.result(name, Field.of("streams", MEASURED_STREAMS),
				millis("first-token-p50-ms", probe.firstToken(), P50),
				millis("first-token-p95-ms", probe.firstToken(), P95),
				millis("between-tokens-p50-ms", probe.betweenTokens(), P50),
				millis("between-tokens-p95-ms", probe.betweenTokens(), P95));
	}

	private static Field millis(String key, Histogram histogram, double percentile) {
		return Field.of(key, String.format("%.3f", histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI));
	}

	private static double added(Histogram viaEntry, Histogram direct, double percentile) {
		return (viaEntry.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)) / NANOS_PER_MILLI;
	}

}
