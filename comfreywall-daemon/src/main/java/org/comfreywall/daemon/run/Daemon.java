package org.comfreywall.daemon.run;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.metrics.RequestMetrics;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.settings.ControlSettings;
import org.comfreywall.common.settings.EntrySettings;
import org.comfreywall.common.settings.InstanceSettings;
import org.comfreywall.common.settings.PeerSettings;
import org.comfreywall.common.settings.Role;
import org.comfreywall.common.settings.SidecarSettings;
import org.comfreywall.common.time.Clock;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.control.storage.DiskStorage;
import org.comfreywall.control.storage.FolderOrigin;
import org.comfreywall.daemon.admin.AdminParts;
import org.comfreywall.daemon.admin.AdminServer;
import org.comfreywall.daemon.control.ControlParts;
import org.comfreywall.daemon.control.ControlRole;
import org.comfreywall.daemon.entry.EntryNode;
import org.comfreywall.daemon.entry.EntryParts;
import org.comfreywall.daemon.entry.RemoteControl;
import org.comfreywall.daemon.http.HttpSecurity;
import org.comfreywall.daemon.member.ConfigurationHolder;
import org.comfreywall.daemon.member.MembershipClient;
import org.comfreywall.daemon.sidecar.SidecarNode;
import org.comfreywall.daemon.sidecar.SidecarParts;
import org.comfreywall.transport.ConnectionTimeouts;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.TlsFiles;
import org.comfreywall.transport.TlsSecurity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportSecurity;
import org.comfreywall.transport.control.ControlClient;
import org.comfreywall.transport.generated.MemberInfo;
import org.comfreywall.transport.rpc.RpcServer;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * A daemon process with the roles that are enabled in its settings.
 * <p>
 * Roles start in the order control, sidecar, entry and admin, and stop in the reverse
 * order after the sidecar and the entry have finished their requests.
 */
public final class Daemon implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(Daemon.class);

	private static final int EVENT_LOOP_THREADS = 2;

	private static final int DECISION_HISTORY_CAPACITY = 20_000;

	private static final int CONTROL_CLIENT_QUEUE_CAPACITY = 4096;

	private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(60);

	private final Closer closer = new Closer();

	private final InstanceSettings settings;

	private final DecisionHistory decisions = new DecisionHistory(DECISION_HISTORY_CAPACITY);

	private final MetricRegistry registry = new MetricRegistry();

	private final RequestMetrics requestMetrics = new RequestMetrics(this.registry);

	private final ConfigurationHolder configurationHolder = new ConfigurationHolder(this.decisions);

	private final HttpSecurity httpSecurity;

	private final Vertx vertx;

	private final Transport transport;

	private final ControlClient controlClient;

	private final MembershipClient membershipClient;

	private Optional<ControlRole> controlRole = Optional.empty();

	private Optional<SidecarNode> sidecar = Optional.empty();

	private Optional<EntryNode> entry = Optional.empty();

	private final AdminServer admin;

	private Daemon(InstanceSettings settings, TransportSecurity security, Optional<DiskStorage> storage) {
		this.settings = settings;
		this.httpSecurity = new HttpSecurity(tlsFiles(settings));
		this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOP_THREADS));
		this.closer.register(() -> this.vertx.close().await(5, TimeUnit.SECONDS));
		Incarnation incarnation = Incarnation.of(System.currentTimeMillis());
		this.transport = this.closer.register(new Transport(new PeerIdentity(settings.name(), incarnation),
				ConnectionTimeouts.DEFAULT, security, EVENT_LOOP_THREADS));
		SerialWorker worker = this.closer.register(new SerialWorker("control-client", CONTROL_CLIENT_QUEUE_CAPACITY));
		storage.ifPresent((opened) -> startControl(settings.control().orElseThrow(), opened));
		this.controlClient = this.closer
			.register(new ControlClient(this.transport, controlAddresses(settings), worker));
		settings.sidecar().ifPresent(this::startSidecar);
		this.membershipClient = this.closer
			.register(new MembershipClient(this.controlClient, this.configurationHolder, memberInfo()));
		this.sidecar.ifPresent((node) -> node.setDrainListener(this.membershipClient::announceLeaving));
		settings.entry().ifPresent(this::startEntry);
		this.admin = this.closer.register(new AdminServer(adminParts(), settings.admin().listen(), this.httpSecurity));
		this.membershipClient.start();
	}

	/**
	 * Starts the roles.
	 * @param settings the settings
	 * @param bootstrap whether an empty data folder bootstraps the replicated log;
	 * otherwise the instance joins an existing log
	 * @return the running daemon, or the error that prevented its start
	 */
	public static Result<Daemon> start(InstanceSettings settings, boolean bootstrap) {
		Preconditions.notNull(settings, "settings");
		return security(settings).flatMap((security) -> start(settings, security, bootstrap));
	}

	private static Result<TransportSecurity> security(InstanceSettings settings) {
		return tlsFiles(settings).map((files) -> TlsSecurity.load(files).<TransportSecurity>map((tls) -> tls))
			.orElseGet(() -> Result.success(TransportSecurity.PLAIN));
	}

	private static Optional<TlsFiles> tlsFiles(InstanceSettings settings) {
		return settings.tls().map((tls) -> new TlsFiles(tls.certificate(), tls.key(), tls.trust()));
	}

	private static Result<Daemon> start(InstanceSettings settings, TransportSecurity security, boolean bootstrap) {
		if (settings.control().isEmpty()) {
			return Result.success(new Daemon(settings, security, Optional.empty()));
		}
		ControlSettings control = settings.control().get();
		List<InstanceId> initialVoters = control.peers().stream().map(PeerSettings::name).sorted().toList();
		FolderOrigin origin = bootstrap ? FolderOrigin.founding(settings.name(), initialVoters)
				: FolderOrigin.joining(settings.name(), new SecureRandom());
		return DiskStorage.open(control.dataFolder(), origin, DiskStorage.DEFAULT_SEGMENT_BYTES)
			.flatMap((storage) -> start(settings, security, storage));
	}

	private static Result<Daemon> start(InstanceSettings settings, TransportSecurity security, DiskStorage storage) {
		try {
			return Result.success(new Daemon(settings, security, Optional.of(storage)));
		}
		catch (RuntimeException ex) {
			storage.close();
			return Result.failure(
					OperationError.local(ErrorCode.UNAVAILABLE, Step.SETTINGS, "cannot start: " + ex.getMessage()));
		}
	}

	/**
	 * Shuts down gracefully: leaves the membership, drains the sidecar and the entry,
	 * each for at most 60 seconds, and closes all roles. A second call has no effect.
	 */
	public void stop() {
		LOG.info("stopping", Field.of("instance", this.settings.name()));
		// Announced before the drain, so that entries without a connection to this
		// sidecar
		// stop adding it. Connected entries receive its state with the load reports.
		this.membershipClient.announceLeaving();
		awaitDrain(this.sidecar.map(SidecarNode::drain));
		awaitDrain(this.entry.map(EntryNode::drain));
		try {
			close();
		}
		catch (Exception ex) {
			LOG.error("stop-failed", Field.of("error", ex));
		}
		LOG.info("stopped", Field.of("instance", this.settings.name()));
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	/**
	 * Returns the instance's name, the addresses of its entry and its sidecar if it has
	 * these roles, and the address of its admin server.
	 * @return key=value pairs, separated by spaces
	 */
	public String describe() {
		StringBuilder text = new StringBuilder("instance=" + this.settings.name());
		this.entry.ifPresent((node) -> text.append(" entry=" + this.httpSecurity.scheme() + "://")
			.append(new HostPort(this.settings.entry().orElseThrow().listen().host(), node.port())));
		this.sidecar.ifPresent((node) -> text.append(" sidecar=").append(node.address()));
		return text.append(" admin=" + this.httpSecurity.scheme() + "://")
			.append(new HostPort(this.settings.admin().listen().host(), this.admin.port()))
			.toString();
	}

	private void startControl(ControlSettings control, DiskStorage storage) {
		RpcServer server = new RpcServer();
		ControlParts parts = new ControlParts(this.transport, storage, control.peers(), Clock.system(),
				new SecureRandom(), this.registry, this.decisions);
		this.controlRole = Optional.of(this.closer.register(new ControlRole(parts, server)));
		this.closer.register(this.transport.listen(control.listen(), server));
	}

	private void startSidecar(SidecarSettings sidecarSettings) {
		SidecarParts parts = new SidecarParts(this.vertx, this.transport,
				BackendServerId.of(this.settings.name().value()), sidecarSettings.backend(),
				new RemoteControl(this.controlClient)::recordCrash, Clock.system(), this.decisions);
		this.sidecar = Optional.of(this.closer.register(new SidecarNode(parts, sidecarSettings.listen())));
	}

	private void startEntry(EntrySettings entrySettings) {
		EntryParts parts = new EntryParts(this.vertx, this.transport, this.settings.failureDomain(),
				() -> this.configurationHolder.configuration().orElse(Configuration.EMPTY),
				new RemoteControl(this.controlClient), this.requestMetrics, Clock.system(), new SecureRandom(),
				this.decisions);
		EntryNode node = this.closer.register(new EntryNode(parts, entrySettings.listen(), this.httpSecurity));
		this.membershipClient.addListener(new SidecarDiscovery(node));
		this.entry = Optional.of(node);
	}

	private AdminParts adminParts() {
		return new AdminParts(this.vertx, this.transport, this.controlClient, this.membershipClient,
				this.configurationHolder, this.decisions, this.registry, this.requestMetrics.histograms(), this::status,
				this::notReadyReason);
	}

	private Optional<String> notReadyReason() {
		return this.membershipClient.firstConfirmation().isDone() ? Optional.empty()
				: Optional.of("no control instance has confirmed the configuration yet");
	}

	private JsonObject status() {
		JsonArray roles = new JsonArray();
		this.settings.roles().stream().sorted().forEach((role) -> roles.add(role.name()));
		JsonObject status = new JsonObject().put("instance", this.settings.name().value())
			.put("incarnation", this.transport.self().incarnation().value())
			.put("roles", roles);
		this.controlRole.map(ControlRole::status)
			.ifPresent((log) -> status.put("log",
					new JsonObject().put("role", log.role().name())
						.put("term", log.term().value())
						.put("leader", log.leader().map(InstanceId::value).orElse("unknown"))
						.put("commitIndex", log.commitIndex())
						.put("holdsLease", log.holdsLease())));
		return status;
	}

	private MemberInfo memberInfo() {
		MemberInfo.Builder info = MemberInfo.newBuilder()
			.setInstance(this.settings.name().value())
			.setIncarnation(this.transport.self().incarnation().value())
			.setFailureDomain(this.settings.failureDomain().value())
			.addAllRoles(this.settings.roles().stream().map(Role::name).sorted().toList());
		this.settings.sidecar()
			.ifPresent((role) -> info.setBackendServer(this.settings.name().value())
				.setService(role.service().value())
				.setAddress(this.sidecar.orElseThrow().address().toString()));
		return info.build();
	}

	private static List<HostPort> controlAddresses(InstanceSettings settings) {
		List<HostPort> addresses = new ArrayList<>();
		settings.control().ifPresent((control) -> control.peers().forEach((peer) -> addresses.add(peer.address())));
		settings.entry().ifPresent((role) -> addresses.addAll(role.control()));
		settings.sidecar().ifPresent((role) -> addresses.addAll(role.control()));
		return addresses.stream().distinct().toList();
	}

	private static void awaitDrain(Optional<CompletableFuture<Void>> drained) {
		drained.ifPresent((future) -> {
			try {
				future.get(DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
			}
			catch (Exception ex) {
				LOG.warn("drain-incomplete", Field.of("error", ex));
			}
		});
	}

}
