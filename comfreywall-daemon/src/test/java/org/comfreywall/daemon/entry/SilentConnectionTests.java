package org.comfreywall.daemon.entry;

import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.config.ServiceKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.metrics.RequestMetrics;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.daemon.http.HttpSecurity;
import org.comfreywall.daemon.sidecar.SidecarNode;
import org.comfreywall.daemon.sidecar.SidecarParts;
import org.comfreywall.daemon.standin.FakeBackendServer;
import org.comfreywall.transport.ConnectionTimeouts;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportSecurity;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a stream resumes when the connection between entry and sidecar drops all
 * bytes without being closed, so that only a timeout can detect the failure.
 */
class SilentConnectionTests {

	private static final ServiceId MODEL = ServiceId.of("chat");

	private static final FailureDomainId DOMAIN = FailureDomainId.of("local");

	private static final HostPort LOOPBACK = new HostPort("127.0.0.1", 0);

	private static final int TOKENS = 80;

	private final Closer closer = new Closer();

	private final Vertx vertx = Vertx.vertx();

	private BlackholeProxy proxy;

	private EntryNode entry;

	@BeforeEach
	void start() throws Exception {
		this.closer.register(() -> this.vertx.close().await(10, TimeUnit.SECONDS));
		FakeBackendServer backend = this.closer.register(new FakeBackendServer(this.vertx, 0, Duration.ofMillis(10)));
		SidecarParts sidecarParts = new SidecarParts(this.vertx, transport("sidecar"), BackendServerId.of("chat-1"),
				URI.create("http://127.0.0.1:" + backend.port()), (report) -> {
				}, Clock.system(), DecisionListener.NONE);
		SidecarNode sidecar = this.closer.register(new SidecarNode(sidecarParts, LOOPBACK));
		this.proxy = new BlackholeProxy(this.vertx, sidecar.address());
		EntryParts parts = new EntryParts(this.vertx, transport("entry"), DOMAIN, SilentConnectionTests::configuration,
				new InMemoryControl(Clock.system(), DecisionListener.NONE), new RequestMetrics(new MetricRegistry()),
				Clock.system(), RandomGenerator.getDefault(), DecisionListener.NONE);
		this.entry = this.closer.register(new EntryNode(parts, LOOPBACK, HttpSecurity.PLAIN));
		this.entry
			.addBackendServer(new SidecarAddress(BackendServerId.of("chat-1"), MODEL, DOMAIN, this.proxy.address()))
			.get(30, TimeUnit.SECONDS);
	}

	@AfterEach
	void stop() throws Exception {
		this.closer.close();
	}

	@Test
	void streamResumesWithoutLossOrDuplicationWhenConnectionDropsAllBytes() throws Exception {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.entry.port() + "/v1/chat/completions"))
			.timeout(Duration.ofSeconds(60))
			.header("Authorization", "Bearer key")
			.POST(HttpRequest.BodyPublishers.ofString("{\"model\":\"chat\",\"max_tokens\":" + TOKENS + "}"))
			.build();
		HttpResponse<InputStream> answer = HttpClient.newHttpClient()
			.send(request, HttpResponse.BodyHandlers.ofInputStream());
		byte[] first = answer.body().readNBytes(1);
		this.proxy.dropOpenConnections();
		String body = new String(first, StandardCharsets.UTF_8)
				+ new String(answer.body().readAllBytes(), StandardCharsets.UTF_8);
		String tokens = body.lines()
			.filter((line) -> line.contains("\"content\""))
			.map((line) -> line.replaceAll(".*\"content\":\"token(\\d+) \".*", "$1"))
			.collect(Collectors.joining(","));
		assertThat(tokens)
			.isEqualTo(IntStream.range(0, TOKENS).mapToObj(Integer::toString).collect(Collectors.joining(",")));
		assertThat(body).endsWith("data: [DONE]\n\n");
	}

	private Transport transport(String name) {
		PeerIdentity self = new PeerIdentity(InstanceId.of(name), Incarnation.of(1));
		return this.closer.register(new Transport(self, ConnectionTimeouts.DEFAULT, TransportSecurity.PLAIN, 1));
	}

	private static Configuration configuration() {
		ServiceDescriptor model = new ServiceDescriptor(MODEL, ServiceKind.MODEL, "/v1/chat/completions",
				List.of("POST /v1/chat/completions"), false);
		AccountDescriptor account = new AccountDescriptor(AccountId.of("farm"), List.of(Bytes.ofText("key").sha256()),
				new AccountLimits(100, 100_000, 100), PriorityClass.INTERACTIVE, List.of(MODEL));
		return new Configuration(List.of(), List.of(model), List.of(account), List.of());
	}

}
