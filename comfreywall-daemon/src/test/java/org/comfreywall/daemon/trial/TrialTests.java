package org.comfreywall.daemon.trial;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Trial}.
 */
class TrialTests {

	private static Trial trial;

	private final HttpClient client = HttpClient.newHttpClient();

	@BeforeAll
	static void start() {
		trial = new Trial(Duration.ofMillis(2));
	}

	@AfterAll
	static void stop() throws Exception {
		trial.close();
	}

	@Test
	void servesStreamedChatAndRunsRepeatedBookingOnce() throws Exception {
		assertThat(new TrialCheck(trial.entry()).run()).isTrue();
	}

	@Test
	void refusesUnknownApiKeyAsNotRun() throws Exception {
		HttpResponse<String> answer = post("/booking/pickups", "wrong", "k1");
		assertThat(answer.statusCode()).isEqualTo(401);
		assertThat(answer.headers().firstValue("Comfreywall-Outcome")).contains("NOT_RUN");
		assertThat(answer.body()).contains("\"outcome\":\"NOT_RUN\"").contains("AUTHENTICATE");
	}

	@Test
	void refusesBookingWithoutIdempotencyKey() throws Exception {
		HttpResponse<String> answer = post("/booking/pickups", Trial.API_KEY, null);
		assertThat(answer.statusCode()).isEqualTo(400);
		assertThat(answer.body()).contains("Idempotency-Key");
	}

	@Test
	void refusesIdempotencyKeyReusedWithAnotherBody() throws Exception {
		assertThat(post("/booking/pickups", Trial.API_KEY, "k2").statusCode()).isEqualTo(200);
		HttpRequest other = request("/booking/pickups", Trial.API_KEY, "k2")
			.POST(HttpRequest.BodyPublishers.ofString("other"))
			.build();
		HttpResponse<String> answer = this.client.send(other, HttpResponse.BodyHandlers.ofString());
		assertThat(answer.statusCode()).isEqualTo(409);
		assertThat(answer.body()).contains("NOT_RUN");
	}

	private HttpResponse<String> post(String path, String apiKey, String key) throws Exception {
		HttpRequest request = request(path, apiKey, key).POST(HttpRequest.BodyPublishers.ofString("{}")).build();
		return this.client.send(request, HttpResponse.BodyHandlers.ofString());
	}

	private static HttpRequest.Builder request(String path, String apiKey, String key) {
		URI uri = trial.entry().resolve(path);
		HttpRequest.Builder request = HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + apiKey);
		return (key != null) ? request.header("Idempotency-Key", key) : request;
	}

}
