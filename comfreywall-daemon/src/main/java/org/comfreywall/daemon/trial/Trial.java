package org.comfreywall.daemon.trial;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import org.comfreywall.common.config.AccountDescriptor;
import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.config.FailureDomainDescriptor;
import org.comfreywall.common.config.PriorityClass;
import org.comfreywall.common.config.ServiceDescriptor;
import org.comfreywall.common.config.ServiceKind;
import org.comfreywall.common.decision.DecisionHistory;
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
import org.comfreywall.daemon.entry.EntryNode;
import org.comfreywall.daemon.entry.EntryParts;
import org.comfreywall.daemon.entry.InMemoryControl;
import org.comfreywall.daemon.entry.SidecarAddress;
import org.comfreywall.daemon.http.HttpSecurity;
import org.comfreywall.daemon.sidecar.SidecarNode;
import org.comfreywall.daemon.sidecar.SidecarParts;
import org.comfreywall.daemon.standin.FakeBackendServer;
import org.comfreywall.transport.ConnectionTimeouts;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportSecurity;

/**
 * Runs an entry, sidecars and fake backend servers in one process on loopback. Claims and
 * suspects are kept in memory instead of by control instances.
 */
public final class Trial implements AutoCloseable {

	/** The API key of the trial's client account. */
	public static final String API_KEY = "trial-key";

	/** The model that the trial offers. */
	public static final ServiceId MODEL = ServiceId.of("trial-model");

	/** The booking service that the trial offers. */
	public static final ServiceId BOOKING = ServiceId.of("booking");

	private static final FailureDomainId DOMAIN = FailureDomainId.of("trial");

	private static final int DECISION_HISTORY_CAPACITY = 10_000;

	private static final int SERVERS_PER_SERVICE = 2;

	private static final long REQUESTS_PER_SECOND = 1000;

	private static final long TOKENS_PER_SECOND = 100_000;

	private static final long MAX_IN_FLIGHT = 1000;

	private static final HostPort LOOPBACK = new HostPort("127.0.0.1", 0);

	private final Closer closer = new Closer();

	private final Vertx vertx = Vertx.vertx();

	private final DecisionHistory decisions = new DecisionHistory(DECISION_HISTORY_CAPACITY);

	private final InMemoryControl control;

	private final EntryNode entry;

	private URI modelServer;

	/**
	 * Starts the entry, the sidecars and the backend servers.
	 * @param tokenInterval the time between the tokens of a chat completion, at least 1
	 * ms
	 */
	public Trial(Duration tokenInterval) {
		this.closer.register(() -> this.vertx.close().await(5, TimeUnit.SECONDS));
		Configuration configuration = configuration();
		this.control = new InMemoryControl(Clock.system(), this.decisions);
		EntryParts parts = new EntryParts(this.vertx, transport("entry-1"), DOMAIN, () -> configuration, this.control,
				new RequestMetrics(new MetricRegistry()), Clock.system(), RandomGenerator.getDefault(), this.decisions);
		this.entry = this.closer.register(new EntryNode(parts, LOOPBACK, HttpSecurity.PLAIN));
		for (int i = 1; i <= SERVERS_PER_SERVICE; i++) {
			startServer("model-" + i, MODEL, tokenInterval);
			startServer("booking-" + i, BOOKING, tokenInterval);
		}
	}

	/**
	 * Returns the address on which callers connect.
	 * @return the base address
	 */
	public URI entry() {
		return URI.create("http://127.0.0.1:" + this.entry.port());
	}

	/**
	 * Returns the address of one backend server of the model, bypassing the entry.
	 * @return the base address
	 */
	public URI backend() {
		return this.modelServer;
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	Vertx vertx() {
		return this.vertx;
	}

	private void startServer(String name, ServiceId service, Duration tokenInterval) {
		FakeBackendServer server = this.closer.register(new FakeBackendServer(this.vertx, 0, tokenInterval));
		URI address = URI.create("http://127.0.0.1:" + server.port());
		if (service.equals(MODEL)) {
			this.modelServer = address;
		}
		SidecarParts parts = new SidecarParts(this.vertx, transport("sidecar-" + name), BackendServerId.of(name),
				address, this.control::recordCrash, Clock.system(), this.decisions);
		SidecarNode sidecar = this.closer.register(new SidecarNode(parts, LOOPBACK));
		this.entry.addBackendServer(new SidecarAddress(BackendServerId.of(name), service, DOMAIN, sidecar.address()))
			.join();
	}

	private Transport transport(String name) {
		PeerIdentity self = new PeerIdentity(InstanceId.of(name), Incarnation.of(System.currentTimeMillis()));
		return this.closer.register(new Transport(self, ConnectionTimeouts.DEFAULT, TransportSecurity.PLAIN, 1));
	}

	private static Configuration configuration() {
		FailureDomainDescriptor domain = new FailureDomainDescriptor(DOMAIN, "local");
		ServiceDescriptor model = new ServiceDescriptor(MODEL, ServiceKind.MODEL, "/v1/chat/completions",
				List.of("POST /v1/chat/completions"), false);
		ServiceDescriptor booking = new ServiceDescriptor(BOOKING, ServiceKind.PLAIN, "/booking",
				List.of("GET /booking"), true);
		AccountDescriptor account = new AccountDescriptor(AccountId.of("trial"),
				List.of(Bytes.ofText(API_KEY).sha256()),
				new AccountLimits(REQUESTS_PER_SECOND, TOKENS_PER_SECOND, MAX_IN_FLIGHT), PriorityClass.INTERACTIVE,
				List.of(MODEL, BOOKING));
		return new Configuration(List.of(domain), List.of(model, booking), List.of(account), List.of());
	}

}
