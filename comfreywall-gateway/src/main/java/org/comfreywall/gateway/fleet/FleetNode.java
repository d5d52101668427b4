package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.lifecycle.Closer;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.common.util.LruMap;
import org.comfreywall.common.util.Preconditions;
import org.comfreywall.common.util.RendezvousHash;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.PeerMessage;
import org.comfreywall.control.log.ReplicaStatus;
import org.comfreywall.control.log.Role;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.state.EvacuationOrders;
import org.comfreywall.control.state.VersionedDocument;
import org.comfreywall.gateway.group.DeputyPort;
import org.comfreywall.gateway.pool.Departure;
import org.comfreywall.gateway.pool.KnownEntries;
import org.comfreywall.gateway.pool.ServerAnnouncement;
import org.comfreywall.gateway.pool.ServerDirectory;
import org.comfreywall.transport.ConnectionTimeouts;
import org.comfreywall.transport.PeerIdentity;
import org.comfreywall.transport.Transport;
import org.comfreywall.transport.TransportSecurity;
import org.comfreywall.transport.control.ControlMethods;
import org.comfreywall.transport.generated.FleetMember;
import org.comfreywall.transport.generated.FleetNews;
import org.comfreywall.transport.generated.FleetNewsReply;
import org.comfreywall.transport.rpc.RpcClient;
import org.comfreywall.transport.rpc.RpcServer;
import org.comfreywall.transport.worker.RepeatedTask;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Membership of this process in its fleet: discovers the other processes, exchanges
 * periodic updates with them and, if it has a disk, runs a replica of the replicated log.
 * <p>
 * State is confined to one event loop.
 */
public final class FleetNode implements AutoCloseable {

	private static final EventLog LOG = EventLog.of(FleetNode.class);

	private static final Duration UPDATE_INTERVAL = Duration.ofMillis(200);

	/** Every tenth update carries the full state, for processes that missed a change. */
	private static final int UPDATES_PER_FULL_UPDATE = 10;

	/**
	 * Every fiftieth update also carries all announcements of backend servers, which
	 * repeat theirs every second or two.
	 */
	private static final int UPDATES_PER_DIRECTORY = 50;

	private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(300);

	/** A process that is silent for this time no longer counts as an entry. */
	private static final Duration LOST_TIMEOUT = Duration.ofSeconds(7);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);

	/** Short against the time between updates; the ranks of a group change together. */
	private static final Duration GROUP_CHANGE_DELAY = Duration.ofMillis(20);

	private static final int WORKER_RING = 64;

	private static final int MAX_STORED_DEPARTURES = 2000;

	private static final ConnectionTimeouts CONNECTION_TIMEOUTS = new ConnectionTimeouts(Duration.ofMillis(300),
			Duration.ofMillis(900), Duration.ofMillis(1600), Duration.ofMillis(500));

	private final EventLoop loop;

	private final FleetListener listener;

	private final Closer closer = new Closer();

	private final Transport transport;

	private final RpcServer server = new RpcServer();

	private final PeerTable peers = new PeerTable();

	private final EntryTracker entries;

	private final ServerDirectory directory = new ServerDirectory();

	private final PeerClients clients;

	private final RankNews rankNews;

	private final GroupMessenger groups;

	private final long incarnation = System.currentTimeMillis();

	private final SerialWorker storageWorker;

	private final LogBootstrap bootstrap;

	private final VoterMaintenance voters;

	private final Optional<LocalReplica> replica;

	private final Optional<PeerFile> peerFile;

	private final Optional<DepartureFile> departureFile;

	private final DocumentSync documents;

	private final EvacuationSync evacuations;

	private final PoisonEvidenceSync poison;

	private final InFlightExchange inFlight = new InFlightExchange();

	private final Map<Departure, Boolean> storedDepartures = new LruMap<>(MAX_STORED_DEPARTURES);

	private FleetSettings settings;

	private Map<String, ServerAnnouncement> unsentAnnouncements = new HashMap<>();

	private String leader = "";

	private long leaderTerm;

	private long updatesSent;

	private boolean leaving;

	/**
	 * Creates a node and accepts connections from peers.
	 * @param settings the settings at the start
	 * @param loop the event loop that the state is confined to
	 * @param listener receives updates of the fleet
	 * @param ranks receives the reports of ranks while this process is the leader, and
	 * the switches that are delegated to it
	 */
	public FleetNode(FleetSettings settings, EventLoop loop, FleetListener listener, RankObserver ranks) {
		this.settings = Preconditions.notNull(settings, "settings");
		this.loop = Preconditions.notNull(loop, "loop");
		this.listener = Preconditions.notNull(listener, "listener");
		this.entries = new EntryTracker(settings.address(), settings.seeds());
		PeerIdentity self = new PeerIdentity(InstanceId.of(settings.instance()), Incarnation.of(this.incarnation));
		this.transport = this.closer.register(new Transport(self, CONNECTION_TIMEOUTS, TransportSecurity.PLAIN, 1));
		this.clients = new PeerClients(this.transport);
		this.rankNews = new RankNews(listener,
				(task) -> loop.schedule(task, GROUP_CHANGE_DELAY.toMillis(), TimeUnit.MILLISECONDS),
				this::broadcastRankNews);
		this.groups = new GroupMessenger(settings, this.peers, this.clients, ranks, this::leaderAddress, this.rankNews);
		this.storageWorker = this.closer.register(new SerialWorker("storage", WORKER_RING));
		this.bootstrap = new LogBootstrap(settings, this::self, this.clients, loop, this.storageWorker);
		this.peerFile = PeerFile.of(settings);
		this.departureFile = settings.dataFolder()
			.map((folder) -> new DepartureFile(folder, this.storageWorker::offer));
		this.documents = new DocumentSync(loop, this::leaderClient, (newer) -> {
			broadcast(newUpdate().build());
			listener.onDocument(newer);
		});
		this.evacuations = new EvacuationSync(loop, this::leaderClient,
				() -> isSupported(CommandFormat.VERSIONED_EVACUATIONS), (newer) -> {
					broadcast(newUpdate().build());
					listener.onEvacuations(newer);
				});
		this.poison = new PoisonEvidenceSync(loop, this::leaderClient, () -> isSupported(CommandFormat.POISON_EVIDENCE),
				listener);
		this.replica = settings.dataFolder()
			.map((folder) -> new LocalReplica(folder, settings.instance(), this::sendToMember,
					(newer) -> this.loop.execute(() -> this.documents.update(newer)),
					(newer) -> this.loop.execute(() -> this.evacuations.update(newer))));
		this.replica.ifPresent(this.closer::register);
		this.voters = new VoterMaintenance(settings, this.peers, this::localNode, loop);
		register();
		this.closer.register(this.transport.listen(settings.address(), this.server));
	}

	/**
	 * Starts sending updates and, with a disk, the replica of the replicated log.
	 */
	public void start() {
		this.loop.execute(() -> updateSeeds(this.settings.seeds()));
		this.replica.ifPresent((opened) -> this.storageWorker.execute(() -> {
			try {
				loadFiles();
			}
			finally {
				this.bootstrap.open(opened);
			}
		}));
		RepeatedTask.schedule(this.loop, UPDATE_INTERVAL, "broadcast-update", this::broadcastUpdate);
		RepeatedTask.schedule(this.loop, UPDATE_INTERVAL, "store-poison-evidence",
				() -> this.poison.tick(holdsLeaderLease()));
		RepeatedTask.schedule(this.loop, MAINTENANCE_INTERVAL, "maintain", this::maintain);
	}

	private void loadFiles() {
		List<HostPort> peers = this.peerFile.map(PeerFile::load).orElse(List.of());
		Map<Departure, Duration> departures = this.departureFile.map((file) -> file.load(System.currentTimeMillis()))
			.orElse(Map.of());
		this.loop.execute(() -> {
			addPeers(peers);
			long now = System.nanoTime();
			departures.forEach((departure, age) -> mergeDeparture(departure, now - age.toNanos()));
		});
	}

	private void register() {
		this.server.register(ControlMethods.LOG_TOPIC, (connection, payload) -> receiveLog(payload));
		this.server.register(FleetMethods.UPDATE_TOPIC, (connection, payload) -> receiveUpdate(payload));
		this.server.register(FleetMethods.ACKNOWLEDGED_UPDATE, (caller, update) -> onLoop(() -> {
			applyUpdate(update);
			return storeDepartures();
		}).thenCompose(Function.identity()).thenApply(FleetNode::storeReply));
		this.server.register(FleetMethods.DOCUMENT,
				(caller, request) -> onLoop(() -> this.documents.handleRequest(request)));
		this.server.register(FleetMethods.BOOTSTRAP,
				(caller, request) -> onLoop(() -> this.bootstrap.handleFoundingRequest(request)));
		this.server.register(RankMethods.RANK, (caller, notice) -> onLoop(() -> this.groups.handleRankNotice(notice)));
		this.server.register(RankMethods.SWITCH,
				(caller, notice) -> onLoop(() -> this.groups.handleSwitchNotice(notice)));
		new LogRequestHandler(this::localNode).register(this.server);
	}

	private static Result<FleetNewsReply> storeReply(boolean stored) {
		return stored ? Result.success(FleetNewsReply.getDefaultInstance()) : Result.failure(OperationError
			.local(ErrorCode.UNAVAILABLE, Step.REPLICATE, "the update is not on disk; send it again"));
	}

	// Completes with true at once if this process has no disk.
	private CompletableFuture<Boolean> storeDepartures() {
		return this.departureFile.map((file) -> file.save(this.directory.departureAges(System.nanoTime())))
			.orElse(CompletableFuture.completedFuture(true));
	}

	private <T> CompletionStage<T> onLoop(Supplier<T> action) {
		return CompletableFuture.supplyAsync(action, this.loop);
	}

	/**
	 * Replaces the seeds.
	 * @param seeds the addresses of other processes
	 */
	public void updateSeeds(List<HostPort> seeds) {
		this.settings = this.settings.withSeeds(seeds);
		addPeers(seeds);
	}

	private void addPeers(List<HostPort> peers) {
		long now = System.nanoTime();
		peers.forEach((peer) -> this.peers.addAddress(peer, now));
		this.clients.updateConnections(this.peers, this.settings);
	}

	/**
	 * Applies an announcement that a backend server sent to this process; the next
	 * periodic update carries it to the others.
	 * @param announcement the announcement
	 */
	public void announce(ServerAnnouncement announcement) {
		if (merge(announcement, System.nanoTime())) {
			this.unsentAnnouncements.put(announcement.server(), announcement);
		}
	}

	/**
	 * Sets the configured services. Servers of other services are not used, and what is
	 * announced for them has no effect on those of the configured ones.
	 * @param services the names of the services
	 */
	public void updateServices(Set<String> services) {
		this.directory.updateServices(services).forEach((removed) -> {
			LOG.warn("server-of-unknown-service", Field.of("server", removed.server()),
					Field.of("service", removed.service()), Field.of("address", removed.address()));
			this.unsentAnnouncements.remove(removed.server());
			this.listener.onServerRemoved(removed);
		});
		this.directory.takeConfigured().forEach(this::announce);
	}

	/**
	 * Applies an announcement that a server leaves and sends it to all live processes,
	 * which acknowledge it once it is on their disks.
	 * @param announcement the announcement
	 * @return completes once every live process has replied or its call has failed;
	 * {@code true} if the processes with a disk that acknowledged it, including this one,
	 * are a majority of the target number of voters
	 */
	public CompletableFuture<Boolean> announceToAll(ServerAnnouncement announcement) {
		if (!this.directory.isConfigured(announcement.service())) {
			// Holds for a server of that service only: the announcement may be foreign.
			return announceDeparture(new Departure(announcement.serviceMember(), announcement.startedMillis()));
		}
		merge(announcement, System.nanoTime());
		return sendToAll(newUpdate().addServers(FleetCodec.encode(announcement, 0)).build(),
				new Departure(announcement.server(), announcement.startedMillis()));
	}

	/**
	 * Applies the departure of a server, known or not, and sends it to all live
	 * processes, as {@link #announceToAll} does.
	 * @param departure the departure
	 * @return as for {@link #announceToAll}
	 */
	public CompletableFuture<Boolean> announceDeparture(Departure departure) {
		mergeDeparture(departure, System.nanoTime());
		return sendToAll(newUpdate().addDepartures(FleetCodec.encode(departure, 0)).build(), departure);
	}

	/**
	 * Returns whether a departure was acknowledged by enough processes with a disk. That
	 * this process knows of it is not enough: it may be lost with the process.
	 * @param departure the departure
	 * @return {@code true} if {@link #announceToAll} or {@link #announceDeparture} has
	 * completed with {@code true} for it at this process
	 */
	public boolean isStored(Departure departure) {
		return this.storedDepartures.containsKey(departure);
	}

	private CompletableFuture<Boolean> sendToAll(FleetNews update, Departure departure) {
		List<FleetPeer> live = this.peers.livePeers(System.nanoTime());
		List<FleetPeer> processes = new ArrayList<>(live);
		processes.add(self());
		UpdateAcknowledgements acknowledgements = new UpdateAcknowledgements(processes, this.settings.targetVoters());
		storeDepartures().completeOnTimeout(false, CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenAcceptAsync((stored) -> acknowledgements.recordReply(self(), stored), this.loop);
		for (FleetPeer peer : live) {
			this.clients.findOrOpen(peer.address())
				.call(FleetMethods.ACKNOWLEDGED_UPDATE, update, CALL_TIMEOUT)
				.thenAcceptAsync((reply) -> acknowledgements.recordReply(peer, reply.value().isPresent()), this.loop);
		}
		return acknowledgements.result().thenApply((stored) -> {
			if (stored) {
				this.storedDepartures.put(departure, true);
			}
			return stored;
		});
	}

	/**
	 * Finds a backend server.
	 * @param server the server's identifier
	 * @return its latest announcement, or empty if the server is unknown
	 */
	public Optional<ServerAnnouncement> findServer(String server) {
		return this.directory.find(server);
	}

	/**
	 * Proposes a document to the leader.
	 * @param proposed the document
	 * @return {@code true} once it, or a newer version, is stored by a majority of the
	 * voters; {@code false} if the outcome is unknown
	 */
	public CompletableFuture<Boolean> propose(VersionedDocument proposed) {
		return this.documents.propose(proposed);
	}

	/**
	 * Proposes to the leader to start or finish the evacuation of a failure domain. A
	 * repeat changes nothing and gets the same result.
	 * @param domain the failure domain
	 * @param start {@code false} to withdraw the order
	 * @param knownVersion the version of the orders when the operator connected, see
	 * {@link #evacuationVersionBeforeAccept}; the order has no effect if another one has
	 * changed them since
	 * @return {@code true} once the order is stored by a majority of the voters;
	 * {@code false} if it had no effect or the outcome is unknown
	 */
	public CompletableFuture<Boolean> proposeEvacuation(String domain, boolean start, long knownVersion) {
		return this.evacuations.propose(domain, start, knownVersion);
	}

	/**
	 * Returns the version of the orders of evacuation that this process knew when a
	 * connection that it accepts now was opened. Called on the event loop.
	 * @return the version, or an earlier one
	 */
	public long evacuationVersionBeforeAccept() {
		return this.evacuations.versionBeforeAccept(System.nanoTime());
	}

	/**
	 * Returns the number of orders of evacuation that were refused as outdated.
	 * @return the count since the start of this process
	 */
	public long outdatedEvacuations() {
		return this.evacuations.outdated();
	}

	/**
	 * Reads the newest document with a linearizable read at the leader: it includes every
	 * proposal that was acknowledged before the call.
	 * @return the document, or empty if the leader did not confirm the read
	 */
	public CompletableFuture<Optional<VersionedDocument>> readNewest() {
		return this.documents.readNewest();
	}

	/**
	 * Reads the orders of evacuation with a linearizable read at the leader; the listener
	 * has received them when the read completes.
	 * @return the orders, or empty if the leader did not confirm the read
	 */
	public CompletableFuture<Optional<EvacuationOrders>> readEvacuations() {
		return this.evacuations.readNewest();
	}

	/**
	 * Reads the stored evidence on crashes of backend servers from the leader; the
	 * listener has received it when the read completes.
	 * @return {@code true}, or {@code false} if the leader did not confirm the read
	 */
	public CompletableFuture<Boolean> readPoisonEvidence() {
		return this.poison.readNewest();
	}

	private boolean isSupported(CommandFormat format) {
		return format.isSupportedBy(this.peers.recentPeers(System.nanoTime()));
	}

	private LeaderClient leaderClient() {
		Optional<RpcClient> client = this.clients.findByInstance(currentLeader());
		return new LeaderClient(localNode().filter((node) -> node.status().role() == Role.LEADER), client);
	}

	/**
	 * Returns the newest document that this process has received.
	 * @return the document
	 */
	public VersionedDocument document() {
		return this.documents.document();
	}

	/**
	 * Returns the newest orders of evacuation that this process has received.
	 * @return the orders
	 */
	public EvacuationOrders evacuations() {
		return this.evacuations.orders();
	}

	/**
	 * Returns the number of processes that sent an update within the last 7 seconds.
	 * @return the count, including this process
	 */
	public int liveProcesses() {
		return this.peers.updatedWithin(LOST_TIMEOUT, System.nanoTime()).size() + 1;
	}

	/**
	 * Returns the processes among which rates are divided, also those that are silent.
	 * @return the processes; empty until the others have named all that they know
	 */
	public Optional<KnownEntries> knownEntries() {
		return this.entries.entries(System.nanoTime());
	}

	/**
	 * Returns whether this process receives updates from a majority of the known
	 * processes.
	 * @return {@code false} if it may be partitioned from the fleet
	 */
	public boolean reachesMajority() {
		int known = this.peers.knownPeers().size() + 1;
		return (this.peers.livePeers(System.nanoTime()).size() + 1) * 2 > known;
	}

	/**
	 * Returns whether a key is assigned to this process among the live processes of the
	 * fleet. Processes with the same view agree on one.
	 * @param key the key
	 * @return {@code true} if this process has the highest hash of key and instance
	 */
	public boolean isAssigned(String key) {
		Set<String> live = instances(this.peers.livePeers(System.nanoTime()));
		return RendezvousHash.rank(key, this.settings.instance(), live) == 0;
	}

	/**
	 * Returns whether this process is the leader of the replicated log and holds a valid
	 * leader lease.
	 * @return {@code true} while it may coordinate groups
	 */
	public boolean holdsLeaderLease() {
		return localNode().filter(ControlNode::holdsLease).isPresent();
	}

	/**
	 * Returns the latest term of the replicated log that this process has seen.
	 * @return the term
	 */
	public long term() {
		return localNode().map((node) -> node.status().term().value()).orElse(this.leaderTerm);
	}

	/**
	 * Prepares the stop of this process: transfers leadership to another live voter and
	 * tells the others that it leaves, so that its successor as a voter is one before it
	 * has ended.
	 */
	public void leave() {
		this.leaving = true;
		LOG.info("leaving", Field.of("leader", currentLeader()));
		this.voters.transferLeadership();
		broadcast(newUpdate().build());
	}

	private static Set<String> instances(List<FleetPeer> peers) {
		return peers.stream().map(FleetPeer::instance).collect(Collectors.toSet());
	}

	@Override
	public void close() throws Exception {
		this.closer.close();
	}

	private Optional<ControlNode> localNode() {
		return this.replica.flatMap(LocalReplica::node);
	}

	private FleetPeer self() {
		long storage = this.replica.map(LocalReplica::storageId).orElse(0L);
		return new FleetPeer(this.settings.instance(), this.settings.address(), this.settings.domain(),
				this.incarnation, storage);
	}

	private String currentLeader() {
		Optional<ReplicaStatus> status = localNode().map(ControlNode::status);
		Optional<String> local = status.filter((known) -> known.term().value() >= this.leaderTerm)
			.flatMap(ReplicaStatus::leader)
			.map(InstanceId::value);
		return local.orElse(this.leader);
	}

	private Optional<HostPort> leaderAddress() {
		return holdsLeaderLease() ? Optional.of(this.settings.address())
				: this.peers.find(currentLeader()).map(FleetPeer::address);
	}

	/**
	 * Returns the port to the deputies, which complete a switch if this process fails. It
	 * is thread-safe.
	 * @return the port
	 */
	public DeputyPort deputies() {
		return new EventLoopDeputyPort(this.loop, this.groups);
	}

	private FleetNews.Builder newUpdate() {
		FleetNews.Builder update = FleetNews.newBuilder()
			.setSender(FleetCodec.encode(self()))
			.setLeaving(this.leaving)
			.setDocumentVersion(document().version())
			.setLeader(currentLeader())
			.setTerm(Math.max(term(), this.leaderTerm));
		this.evacuations.encode(update);
		return update;
	}

	private void broadcastUpdate() {
		long now = System.nanoTime();
		boolean full = this.updatesSent % UPDATES_PER_FULL_UPDATE == 0;
		boolean directoryIncluded = this.updatesSent % UPDATES_PER_DIRECTORY == 0;
		this.updatesSent++;
		FleetNews.Builder update = newUpdate().setHasInFlight(full);
		this.inFlight.numbersToSend(full, this.listener.inFlight())
			.forEach((server, requests) -> update.addInFlightBuilder().setServer(server).setRequests(requests));
		if (holdsLeaderLease()) {
			this.rankNews.addTo(update, full, now);
		}
		FleetCodec.encode(this.listener.poisonEvidence(full), update, now);
		if (full) {
			this.peers.knownPeers().forEach((peer) -> update.addMembers(FleetCodec.encode(peer)));
			this.directory.departureAges(now)
				.forEach((departure, age) -> update.addDepartures(FleetCodec.encode(departure, age)));
		}
		if (directoryIncluded) {
			this.directory.allAnnouncements()
				.forEach((each) -> update
					.addServers(FleetCodec.encode(each, this.directory.announcementAgeNanos(each.server(), now))));
		}
		else {
			this.unsentAnnouncements.values().forEach((each) -> update.addServers(FleetCodec.encode(each, 0)));
		}
		this.unsentAnnouncements = new HashMap<>();
		broadcast(update.build());
	}

	private void broadcastRankNews(RankNews news) {
		if (holdsLeaderLease()) {
			FleetNews.Builder update = newUpdate();
			news.addTo(update, false, System.nanoTime());
			broadcast(update.build());
		}
	}

	private void broadcast(FleetNews update) {
		this.clients.sendToAll(FleetMethods.UPDATE_TOPIC, update.toByteString());
	}

	private void receiveUpdate(ByteString payload) {
		try {
			FleetNews update = FleetNews.parseFrom(payload);
			this.loop.execute(() -> applyUpdate(update));
		}
		catch (InvalidProtocolBufferException ex) {
			LOG.warn("malformed-news", Field.of("error", ex.getMessage()));
		}
	}

	private void applyUpdate(FleetNews update) {
		long now = System.nanoTime();
		Optional<FleetPeer> sender = FleetCodec.decode(update.getSender());
		if (sender.isEmpty() || sender.get().instance().equals(this.settings.instance())) {
			return;
		}
		boolean joined = this.peers.find(sender.get().instance())
			.filter((known) -> known.incarnation() == sender.get().incarnation())
			.isEmpty();
		if (joined) {
			// It knows nothing of what this process has announced before.
			this.updatesSent = 0;
		}
		this.entries.recordUpdate(update.getHasInFlight(), now);
		this.peers.recordUpdate(sender.get(), update.getLeaving(), now);
		for (FleetMember member : update.getMembersList()) {
			FleetCodec.decode(member)
				.filter((peer) -> !peer.address().equals(this.settings.address()))
				.ifPresent((peer) -> this.peers.addAddress(peer.address(), now));
		}
		this.clients.updateConnections(this.peers, this.settings);
		update.getDeparturesList()
			.forEach((notice) -> FleetCodec.decode(notice)
				.ifPresent((departure) -> mergeDeparture(departure,
						now - TimeUnit.MILLISECONDS.toNanos(notice.getAgeMillis()))));
		update.getServersList()
			.forEach((notice) -> FleetCodec.decode(notice)
				.ifPresent((server) -> merge(server, now - TimeUnit.MILLISECONDS.toNanos(notice.getAgeMillis()))));
		Map<String, Integer> numbers = new HashMap<>();
		update.getInFlightList().forEach((each) -> numbers.put(each.getServer(), each.getRequests()));
		this.listener.onInFlight(sender.get().instance(),
				this.inFlight.apply(sender.get().instance(), update.getHasInFlight(), numbers));
		if (update.getCrashesCount() > 0 || update.getBegunCount() > 0 || update.getCompletedCount() > 0) {
			this.listener.onPoisonEvidence(FleetCodec.decodePoisonEvidence(update, now));
		}
		this.rankNews.apply(update);
		if (update.getTerm() > this.leaderTerm
				|| (update.getTerm() == this.leaderTerm && !update.getLeader().isEmpty())) {
			this.leaderTerm = update.getTerm();
			this.leader = update.getLeader();
		}
		this.documents.applyUpdate(update, () -> this.clients.findOrOpen(sender.get().address()));
		this.evacuations.applyUpdate(update);
	}

	private void mergeDeparture(Departure departure, long receivedAt) {
		if (!this.directory.hasLeft(departure.server(), departure.startedMillis())) {
			LOG.info("server-departed", Field.of("server", departure.server()),
					Field.of("started", departure.startedMillis()));
		}
		this.directory.merge(departure, receivedAt).ifPresent(this.listener::onServerChanged);
	}

	// A server that restarted under another identifier takes over its address. Requests
	// for the one before would be rejected as misdirected.
	private boolean merge(ServerAnnouncement announcement, long receivedAt) {
		Optional<ServerAnnouncement> before = this.directory.find(announcement.server());
		boolean changed = this.directory.merge(announcement, receivedAt);
		if (changed) {
			if (before
				.filter((known) -> known.state() == announcement.state()
						&& known.startedMillis() == announcement.startedMillis())
				.isEmpty()) {
				LOG.info("server-changed", Field.of("server", announcement.server()),
						Field.of("address", announcement.address()), Field.of("state", announcement.state()),
						Field.of("started", announcement.startedMillis()),
						Field.of("sequence", announcement.sequence()));
			}
			this.listener.onServerChanged(announcement.withAge(System.nanoTime() - receivedAt));
			this.directory.removePredecessors(announcement).forEach((ended) -> {
				LOG.info("server-replaced", Field.of("server", ended.server()), Field.of("address", ended.address()),
						Field.of("by", announcement.server()));
				this.unsentAnnouncements.remove(ended.server());
				this.listener.onServerRemoved(ended);
			});
		}
		return changed;
	}

	private void maintain() {
		long now = System.nanoTime();
		this.peers.removeExpired(now, this.settings.seeds());
		this.entries.recordKnown(this.peers.addresses(), now);
		this.clients.updateConnections(this.peers, this.settings);
		this.inFlight.retain(instances(this.peers.knownPeers()));
		this.directory.removeExpired(now).forEach(this.listener::onServerRemoved);
		this.peers.logLiveInstances(now);
		this.replica.ifPresent((opened) -> {
			List<HostPort> peers = this.peers.durableAddresses(LOST_TIMEOUT, now);
			this.storageWorker.offer(() -> {
				opened.reopenIfFailed();
				if (opened.storageId() != 0) {
					this.peerFile.ifPresent((file) -> file.save(peers));
				}
			});
		});
		this.voters.plan(now);
	}

	private void receiveLog(ByteString payload) {
		Result<PeerMessage> message = LogCodec.decodeMessage(Bytes.of(payload.toByteArray()));
		message.value().ifPresent((decoded) -> localNode().ifPresent((node) -> node.receive(decoded)));
		message.error().ifPresent((error) -> LOG.warn("malformed-log-message", Field.of("error", error.message())));
	}

	private void sendToMember(PeerMessage message) {
		this.clients.findByInstance(message.to().value())
			.ifPresent((client) -> client.send(ControlMethods.LOG_TOPIC,
					ByteString.copyFrom(LogCodec.encodeMessage(message).toArray())));
	}

}
