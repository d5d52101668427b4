package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.metrics.LabelledHistograms;
import org.comfreywall.gateway.poison.PoisonRefusal;
import org.comfreywall.gateway.pool.ColdChange;
import org.comfreywall.gateway.pool.PoolServer;
import org.comfreywall.gateway.pool.RequestSize;
import org.comfreywall.gateway.pool.ServerAnnouncement;
import org.comfreywall.gateway.pool.SizeClass;
import org.comfreywall.gateway.pool.WarmUpDecision;

/**
 * Logs each decision about a request as one event and updates its metrics.
 */
final class RequestLog {

	private static final EventLog LOG = EventLog.of(RequestLog.class);

	private static final int MAX_LABELS = 64;

	private static final long NANOS_PER_MICRO = 1000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Far above the refusals of ordinary callers; a ring of 4,096 lines that is full
	 * would drop others as well.
	 */
	private static final int REFUSED_LINES_PER_SECOND = 100;

	private static final int LIMITED_LINES_PER_SECOND = 10;

	private final HeaderNames names;

	private final LogLimit refusedLines = new LogLimit(REFUSED_LINES_PER_SECOND);

	private final LogLimit bodyLines = new LogLimit(LIMITED_LINES_PER_SECOND);

	private final LogLimit connectionLines = new LogLimit(LIMITED_LINES_PER_SECOND);

	private final MetricRegistry metrics;

	private final LabelledHistograms latency = new LabelledHistograms("request_us", "route", MAX_LABELS);

	private final LabelledHistograms groupPauses = new LabelledHistograms("group_pause_us", "group", MAX_LABELS);

	private final LabelledHistograms firstEvents = new LabelledHistograms("first_event_us", "size", MAX_LABELS);

	RequestLog(HeaderNames names, MetricRegistry metrics) {
		this.names = names;
		this.metrics = metrics;
	}

	LabelledHistograms latency() {
		return this.latency;
	}

	LabelledHistograms groupPauses() {
		return this.groupPauses;
	}

	// Without groups the pauses of a service are those of its requests.
	void pause(PoolServer server, long nanos) {
		if (!server.groupName().isEmpty()) {
			this.groupPauses.update(server.announcement().service() + "/" + server.groupName(),
					nanos / NANOS_PER_MICRO);
		}
	}

	LabelledHistograms firstEvents() {
		return this.firstEvents;
	}

	void sent(Exchange exchange, PoolServer server) {
		this.metrics.counter("attempts").inc();
		LOG.debug("attempt-sent", request(exchange), Field.of("server", server.announcement().server()),
				Field.of("requests", server.totalInFlight()));
	}

	void rejected(Exchange exchange, PoolServer server, HttpResponse head) {
		this.metrics.counter("attempts_rejected").inc();
		LOG.info("attempt-rejected", request(exchange), Field.of("server", server.announcement().server()),
				Field.of("status", head.status().code()), Field.of("requests", server.totalInFlight()),
				Field.of("faulty", head.headers().get(this.names.faultyServer(), "")));
	}

	void broken(Exchange exchange, PoolServer server, String reason, boolean begun) {
		this.metrics.counter("attempts_broken").inc();
		LOG.info("attempt-broken", request(exchange), Field.of("server", server.announcement().server()),
				Field.of("started", server.announcement().startedMillis()), Field.of("reason", reason),
				Field.of("begun", begun), Field.of("framing", exchange.framing()),
				Field.of("connection-responses", exchange.connectionResponses()),
				Field.of("last-event", exchange.response().lastEventId().orElse("none")),
				Field.of("parts", parts(exchange)));
	}

	void unmarked(Exchange exchange, PoolServer server, boolean stopping) {
		this.metrics.counter("responses_unmarked").inc();
		LOG.info("response-unmarked", request(exchange), Field.of("server", server.announcement().server()),
				Field.of("started", server.announcement().startedMillis()), Field.of("stopping", stopping),
				Field.of("sent", exchange.attemptCount()),
				Field.of("last-event", exchange.response().lastEventId().orElse("none")));
	}

	void endPassedOn(Exchange exchange, String reason) {
		this.metrics.counter("ends_passed_on").inc();
		LOG.info("end-passed-on", request(exchange), Field.of("reason", reason),
				Field.of("last-event", exchange.response().lastEventId().orElse("none")));
	}

	void skipped(ServerConnection connection, HttpResponse head, String awaited) {
		this.metrics.counter("responses_skipped").inc();
		LOG.info("response-skipped", Field.of("request", awaited), response(head),
				Field.of("server", connection.server().server()), Field.of("status", head.status().code()),
				Field.of("responses", connection.responses()));
	}

	void unexpected(ServerConnection connection, HttpResponse head) {
		this.metrics.counter("responses_unexpected").inc();
		LOG.info("response-unexpected", response(head), Field.of("server", connection.server().server()),
				Field.of("status", head.status().code()), Field.of("responses", connection.responses()));
	}

	void leaving(ServerAnnouncement server, boolean late) {
		this.metrics.counter("servers_leaving").inc();
		LOG.info("server-leaving", Field.of("server", server.server()), Field.of("started", server.startedMillis()),
				Field.of("source", source(late)));
	}

	void resting(ServerAnnouncement server, Duration asked, Duration left, boolean late) {
		this.metrics.counter("servers_resting_" + server.service()).inc();
		LOG.info("server-resting", Field.of("server", server.server()), Field.of("service", server.service()),
				Field.of("started", server.startedMillis()), Field.of("source", source(late)),
				Field.of("asked-ms", asked.toMillis()), Field.of("left-ms", left.toMillis()));
	}

	void timeIgnored(ServerAnnouncement server, HttpResponse head) {
		LOG.info("retry-after-ignored", Field.of("server", server.server()),
				Field.of("started", server.startedMillis()),
				Field.of("value", head.headers().get(HttpHeaderNames.RETRY_AFTER)));
	}

	void coldChanged(ColdChange change) {
		boolean cold = !change.left().isZero();
		this.metrics.counter(cold ? "servers_cold" : "servers_warm").inc();
		LOG.info(cold ? "server-cold" : "server-warm", Field.of("server", change.server().server()),
				Field.of("service", change.server().service()), Field.of("started", change.server().startedMillis()),
				Field.of("left-ms", change.left().toMillis()));
	}

	void heldBack(WarmUpDecision reason, int requests) {
		this.metrics.counter("requests_held_cold_" + reason.name().toLowerCase(Locale.ROOT)).inc(requests);
	}

	void coldIgnored(ServerAnnouncement server, String value) {
		LOG.info("cold-time-ignored", Field.of("server", server.server()), Field.of("started", server.startedMillis()),
				Field.of("value", value));
	}

	private static String source(boolean late) {
		return late ? "late-response" : "response";
	}

	void poison(Exchange exchange, PoisonRefusal refusal) {
		LOG.info("poison-refused", request(exchange), Field.of("trait", refusal.trait()),
				Field.of("crashes", refusal.crashes()), Field.of("retry-after-ms", refusal.retryAfter().toMillis()));
	}

	void retry(Exchange exchange, String reason, boolean allowed) {
		this.metrics.counter(allowed ? "retries" : "retries_denied").inc();
		LOG.info("retry", request(exchange), Field.of("reason", reason), Field.of("allowed", allowed),
				Field.of("sent", exchange.attemptCount()));
	}

	void shortPromptsFirst(String service, boolean inForce) {
		LOG.info("short-prompts-first", Field.of("service", service), Field.of("in-force", inForce));
	}

	void ended(Exchange exchange, String reason, int status) {
		long nanos = System.nanoTime() - exchange.request().arrival();
		counter(reason, status).inc();
		this.latency.update(exchange.routeName(), nanos / NANOS_PER_MICRO);
		Optional<SizeClass> size = exchange.sizeClass();
		long first = exchange.timing().timeToFirstPartNanos();
		if (first > 0) {
			size.ifPresent((present) -> this.firstEvents.update(exchange.serviceName() + "/" + present.label(),
					first / NANOS_PER_MICRO));
		}
		// A request that was sent always has a line, as it may have run.
		if (exchange.attemptCount() == 0 && !this.refusedLines.tryWrite(reason, System.nanoTime())) {
			return;
		}
		LOG.info("request-ended", request(exchange), Field.of("route", exchange.routeName()),
				Field.of("account", exchange.account()), Field.of("service", exchange.serviceName()),
				Field.of("outcome", reason), Field.of("status", status), Field.of("sent", exchange.attemptCount()),
				Field.of("server", exchange.lastServer()), Field.of("framing", exchange.framing()),
				Field.of("connection-responses", exchange.connectionResponses()),
				Field.of("queued-ms", exchange.queuedNanos() / NANOS_PER_MILLI),
				Field.of("first-ms", first / NANOS_PER_MILLI),
				Field.of("pause-ms", exchange.timing().longestPauseNanos() / NANOS_PER_MILLI),
				Field.of("ms", nanos / NANOS_PER_MILLI),
				Field.of("prompt-tokens", exchange.size().map(RequestSize::promptTokens).orElse(-1)),
				Field.of("size", size.map(SizeClass::label).orElse("none")));
	}

	void bodyRefused(HttpRequest head, int receivedBytes, long usedBytes) {
		this.metrics.counter("bodies_refused").inc();
		if (!this.bodyLines.tryWrite("memory", System.nanoTime())) {
			return;
		}
		LOG.info("body-refused", Field.of("request", head.headers().get(this.names.request(), "none")),
				Field.of("announced", head.headers().get(HttpHeaderNames.CONTENT_LENGTH, "none")),
				Field.of("received", receivedBytes), Field.of("used", usedBytes));
	}

	void gaveWay(HeldConnection<?> connection, String reason, int connections, long usedBytes) {
		this.metrics.counter("callers_gave_way_" + reason).inc();
		if (!this.connectionLines.tryWrite("caller-gave-way " + reason, System.nanoTime())) {
			return;
		}
		LOG.info("caller-gave-way", Field.of("reason", reason), Field.of("phase", connection.phase()),
				Field.of("bytes", connection.bytes()), Field.of("connections", connections),
				Field.of("used", usedBytes));
	}

	void connectionRefused(int connections) {
		this.metrics.counter("connections_refused").inc();
		if (this.connectionLines.tryWrite("connection-refused", System.nanoTime())) {
			LOG.info("connection-refused", Field.of("connections", connections));
		}
	}

	void unread(HeldConnection<?> connection) {
		this.metrics.counter("callers_not_reading").inc();
		if (this.connectionLines.tryWrite("caller-not-reading", System.nanoTime())) {
			LOG.info("caller-not-reading", Field.of("bytes", connection.bytes()));
		}
	}

	void acceptFailed(String error, int connections) {
		this.metrics.counter("accepts_failed").inc();
		if (this.connectionLines.tryWrite("accept-failed", System.nanoTime())) {
			LOG.warn("accept-failed", Field.of("error", error), Field.of("connections", connections));
		}
	}

	/**
	 * Writes how many lines were left out, in the second after them.
	 * @param now the current time in nanoseconds
	 */
	void writeSums(long now) {
		writeSums("request-ended", this.refusedLines, now);
		writeSums("body-refused", this.bodyLines, now);
		writeSums("callers", this.connectionLines, now);
	}

	private static void writeSums(String event, LogLimit limit, long now) {
		limit.takeLeftOut(now)
			.forEach((reason, count) -> LOG.info("lines-summed", Field.of("of", event), Field.of("reason", reason),
					Field.of("count", count)));
	}

	private Counter counter(String reason, int status) {
		return this.metrics.counter("requests_" + reason.replace(' ', '_') + "_" + status);
	}

	private String parts(Exchange exchange) {
		return exchange.request().headers().get(this.names.promptParts(), "none");
	}

	private Field response(HttpResponse head) {
		return Field.of("response-to", head.headers().get(this.names.request(), "none"));
	}

	private Field request(Exchange exchange) {
		return Field.of("request", exchange.requestId());
	}

}
