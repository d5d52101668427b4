package org.comfreywall.gateway.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link GatewayConfiguration}.
 */
class GatewayConfigurationTests {

	private static final ServiceSettings SERVICE = new ServiceSettings("service", 10, Optional.empty());

	private static Route route(String name, String prefix) {
		return new Route(name, "host", prefix, RequestKind.IDEMPOTENT, Duration.ofSeconds(1), Duration.ofSeconds(1),
				Optional.empty(), 0, List.of(new WeightedService("service", 1)), 1, false);
	}

	private static GatewayConfiguration configuration(List<Route> routes, List<ClientAccount> accounts) {
		return new GatewayConfiguration(1, routes, List.of(SERVICE), accounts, HttpLimits.DEFAULT);
	}

	@Test
	void theLongestPrefixWins() {
		GatewayConfiguration configuration = configuration(List.of(route("short", "/a/"), route("long", "/a/b/")),
				List.of());
		assertThat(configuration.findRoute("host", "/a/b/c")).map(Route::name).contains("long");
		assertThat(configuration.findRoute("host", "/a/c")).map(Route::name).contains("short");
		assertThat(configuration.findRoute("host", "/b")).isEmpty();
		assertThat(configuration.findRoute("other", "/a/b/c")).isEmpty();
	}

	@Test
	void twoRoutesCannotShareHostAndPathPrefix() {
		assertThatIllegalArgumentException()
			.isThrownBy(() -> configuration(List.of(route("one", "/a/"), route("two", "/a/")), List.of()));
	}

	@Test
	void aRouteCannotReferToAnUnknownService() {
		assertThatIllegalArgumentException().isThrownBy(() -> new GatewayConfiguration(1, List.of(route("one", "/a/")),
				List.of(), List.of(), HttpLimits.DEFAULT));
	}

	@Test
	void twoAccountsCannotShareAKey() {
		List<ClientAccount> accounts = List.of(new ClientAccount("one", List.of("key"), OptionalInt.empty()),
				new ClientAccount("two", List.of("key"), OptionalInt.empty()));
		assertThatIllegalArgumentException().isThrownBy(() -> configuration(List.of(), accounts));
	}

	@Test
	void theShortestMaximumPauseOfTheStreamsToAServiceCounts() {
		GatewayConfiguration configuration = configuration(
				List.of(stream("/a/", Optional.of(Duration.ofMillis(150))), stream("/b/", Optional.empty()),
						stream("/c/", Optional.of(Duration.ofMillis(120))), route("plain", "/d/")),
				List.of());
		assertThat(configuration.maxPause("service")).contains(Duration.ofMillis(120));
		assertThat(configuration.maxPause("other")).isEmpty();
	}

	private static Route stream(String prefix, Optional<Duration> maxPause) {
		return new Route(prefix, "host", prefix, RequestKind.STREAM, Duration.ofSeconds(1), Duration.ofSeconds(1),
				maxPause, 0, List.of(new WeightedService("service", 1)), 1, false);
	}

	@Test
	void requestsAreDistributedByWeight() {
		Route split = new Route("split", "host", "/", RequestKind.IDEMPOTENT, Duration.ofSeconds(1),
				Duration.ofSeconds(1), Optional.empty(), 0,
				List.of(new WeightedService("a", 90), new WeightedService("b", 10)), 1, false);
		assertThat(split.pickService(0)).isEqualTo("a");
		assertThat(split.pickService(0.899)).isEqualTo("a");
		assertThat(split.pickService(0.901)).isEqualTo("b");
	}

}
