package org.comfreywall.daemon.trial;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.UUID;

/**
 * Checks a running trial: a streamed chat completion must be complete, and a booking sent
 * twice with one idempotency key must run once.
 */
final class TrialCheck {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final int TOKENS = 8;

	private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

	private final URI entry;

	TrialCheck(URI entry) {
		this.entry = entry;
	}

	boolean run() throws IOException, InterruptedException {
		boolean chat = checkChat();
		boolean booking = checkBooking();
		return chat && booking;
	}

	private boolean checkChat() throws IOException, InterruptedException {
		String body = "{\"model\":\"" + Trial.MODEL + "\",\"stream\":true,\"max_tokens\":" + TOKENS + "}";
		HttpResponse<String> answer = post("/v1/chat/completions", body, UUID.randomUUID().toString());
		long tokens = answer.body().lines().filter((line) -> line.contains("\"content\"")).count();
		boolean whole = answer.statusCode() == 200 && tokens == TOKENS && answer.body().endsWith("data: [DONE]\n\n");
		System.out.println("chat status=" + answer.statusCode() + " tokens=" + tokens + " whole=" + whole);
		return whole;
	}

	private boolean checkBooking() throws IOException, InterruptedException {
		String key = UUID.randomUUID().toString();
		HttpResponse<String> first = post("/booking/pickups", "{\"yard\":7}", key);
		HttpResponse<String> second = post("/booking/pickups", "{\"yard\":7}", key);
		boolean once = first.statusCode() == 200 && first.body().contains("\"run\":1")
				&& second.body().equals(first.body());
		System.out.println(
				"booking status=" + first.statusCode() + " resend-status=" + second.statusCode() + " ran-once=" + once);
		return once;
	}

	private HttpResponse<String> post(String path, String body, String key) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(this.entry.resolve(path))
			.timeout(TIMEOUT)
			.header("Authorization", "Bearer " + Trial.API_KEY)
			.header("Content-Type", "application/json")
			.header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

}
