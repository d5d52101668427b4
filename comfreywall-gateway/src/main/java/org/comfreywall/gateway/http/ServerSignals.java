package org.comfreywall.gateway.http;

import java.time.Duration;
import java.util.function.Function;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.comfreywall.gateway.pool.ServerAnnouncement;
import org.comfreywall.gateway.pool.ServicePool;

/**
 * Reads what backend servers say of themselves in the heads of their responses, and tells
 * the pools of their services.
 */
final class ServerSignals implements ResponseObserver {

	private static final Pattern COLD_MILLIS = Pattern.compile("\\d{1,15}");

	private final HeaderNames names;

	private final RequestLog log;

	private final Function<String, ServicePool> pools;

	/**
	 * Creates a reader.
	 * @param names the names of the headers
	 * @param log receives the signals
	 * @param pools returns the pool of a service
	 */
	ServerSignals(HeaderNames names, RequestLog log, Function<String, ServicePool> pools) {
		this.names = names;
		this.log = log;
		this.pools = pools;
	}

	@Override
	public void onHead(ServerAnnouncement server, HttpResponse head, boolean late) {
		ServicePool pool = this.pools.apply(server.service());
		ServerAnnouncement sender = sender(server, head, pool);
		boolean leaving = head.headers().containsValue(this.names.leaving(), "1", true);
		if (leaving && pool.recordLeaving(sender)) {
			this.log.leaving(sender, late);
		}
		String cold = head.headers().get(this.names.cold());
		if (cold != null) {
			readCold(pool, sender, cold.trim());
		}
		if (RetryAfter.isStated(head)) {
			RetryAfter.of(head)
				.ifPresentOrElse((time) -> rest(pool, server, time, late), () -> this.log.timeIgnored(server, head));
		}
	}

	private void readCold(ServicePool pool, ServerAnnouncement server, String millis) {
		if (COLD_MILLIS.matcher(millis).matches()) {
			pool.coldServers().recordCold(server, Duration.ofMillis(Long.parseLong(millis)), System.nanoTime());
		}
		else {
			this.log.coldIgnored(server, millis);
		}
	}

	private void rest(ServicePool pool, ServerAnnouncement server, Duration time, boolean late) {
		if (!time.isZero()) {
			pool.recordRest(server, time, System.nanoTime())
				.ifPresent((left) -> this.log.resting(server, time, left, late));
		}
	}

	// A misdirected request has reached another incarnation than the one it was sent to.
	private static ServerAnnouncement sender(ServerAnnouncement server, HttpResponse head, ServicePool pool) {
		boolean misdirected = head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
		return misdirected ? pool.findAt(server.address()).orElse(server) : server;
	}

}
