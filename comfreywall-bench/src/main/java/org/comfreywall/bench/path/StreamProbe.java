package org.comfreywall.bench.path;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.UUID;

import org.HdrHistogram.Histogram;
import org.comfreywall.daemon.trial.Trial;

/**
 * Streams chat completions and measures the time to the first token and between tokens.
 * Each chunk read from a body counts as one token.
 */
final class StreamProbe {

	private static final long MAX_LATENCY_NANOS = 60_000_000_000L;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final int BUFFER_BYTES = 4096;

	private final HttpClient client;

	private final URI target;

	private final int tokens;

	private final Histogram firstToken = new Histogram(1, MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);

	private final Histogram betweenTokens = new Histogram(1, MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);

	StreamProbe(HttpClient client, URI target, int tokens) {
		this.client = client;
		this.target = target;
		this.tokens = tokens;
	}

	void stream(boolean measured) throws IOException, InterruptedException {
		String body = "{\"model\":\"" + Trial.MODEL + "\",\"max_tokens\":" + this.tokens + ",\"user\":\""
				+ UUID.randomUUID() + "\"}";
		HttpRequest request = HttpRequest.newBuilder(this.target.resolve("/v1/chat/completions"))
			.header("Authorization", "Bearer " + Trial.API_KEY)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		long sent = System.nanoTime();
		HttpResponse<InputStream> response = this.client.send(request, HttpResponse.BodyHandlers.ofInputStream());
		read(response.body(), sent, measured);
	}

	Histogram firstToken() {
		return this.firstToken;
	}

	Histogram betweenTokens() {
		return this.betweenTokens;
	}

	private void read(InputStream body, long sent, boolean measured) throws IOException {
		byte[] buffer = new byte[BUFFER_BYTES];
		long last = sent;
		boolean first = true;
		int count = body.read(buffer);
		while (count >= 0) {
			long now = System.nanoTime();
			if (measured) {
				(first ? this.firstToken : this.betweenTokens).recordValue(now - last);
			}
			first = false;
			last = now;
			count = body.read(buffer);
		}
	}

}
