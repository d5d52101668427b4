package org.comfreywall.control.spread;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.util.Preconditions;

/**
 * A node of the relay tree: the leader, another control instance, an entry or a sidecar.
 * <p>
 * The node selects its parent. It sends its children the configuration, the membership
 * and heartbeats that carry the leader's latest sequence number. It sends its parent
 * heartbeats with member reports, the coverage of its subtree and requests for the floor.
 * This class is not thread-safe.
 */
public final class RelayTreeNode implements RelayTreeCore {

	private static final long PARENTS_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long TREE_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	private final NodeDescriptor self;

	private final List<NodeDescriptor> controls;

	private final RelayTreeSettings settings;

	private final Invariants invariants = new Invariants();

	private final Outbox outbox = new Outbox();

	private final StreamReplicas streams;

	private final ParentPlanner parentPlanner;

	private final Children children;

	private final ParentSelector parentSelector;

	private final FloorRequestTracker floorRequests;

	private final Prober prober;

	private final LeaveAnnouncer leaveAnnouncer;

	private final HeartbeatSender heartbeatSender;

	private Optional<InstanceId> leader = Optional.empty();

	private long now;

	private long lastHeartbeatSentAt;

	private long lastFloorReadAt;

	private boolean started;

	/**
	 * Creates a node without a parent that initially connects to a control instance.
	 * @param self the node's descriptor, with a greater incarnation than at every earlier
	 * start
	 * @param controls the control instances; their incarnations are ignored
	 * @param settings the settings
	 * @param memberDecoder the decoder of the membership stream's entries
	 * @param random the source of randomness
	 * @param decisions the listener that records decisions
	 */
	public RelayTreeNode(NodeDescriptor self, List<NodeDescriptor> controls, RelayTreeSettings settings,
			MemberDecoder memberDecoder, RandomGenerator random, DecisionListener decisions) {
		this.self = Preconditions.notNull(self, "self");
		this.controls = List.copyOf(controls);
		this.settings = Preconditions.notNull(settings, "settings");
		this.streams = new StreamReplicas(self, settings, this.invariants, decisions, this.outbox);
		ReportQueue reports = new ReportQueue();
		this.children = new Children(settings.maxChildren(), reports::add);
		this.parentSelector = new ParentSelector(self, isControl() ? List.of() : this.controls, settings, random,
				decisions);
		this.parentPlanner = new ParentPlanner(self.role(), this.controls, settings, memberDecoder,
				this.streams.members(), this.outbox);
		this.floorRequests = new FloorRequestTracker(random);
		this.prober = new Prober(self, this.outbox);
		this.leaveAnnouncer = new LeaveAnnouncer(self, this.controls, this.outbox);
		this.heartbeatSender = new HeartbeatSender(self, settings, this.parentSelector, this.streams, this.children,
				reports, this.outbox);
	}

	@Override
	public List<RelayTreeCommand> on(RelayTreeEvent event, long now) {
		Preconditions.notNull(event, "event");
		this.now = now;
		start();
		if (event instanceof RelayTreeEvent.Tick) {
			tick();
		}
		else if (event instanceof RelayTreeEvent.MessageReceived received) {
			receive(received.from(), received.message());
		}
		else if (event instanceof RelayTreeEvent.ConnectionLost lost) {
			startFullReportIfParentChanged(this.parentSelector.onConnectionLost(lost.peer(), now));
		}
		else if (event instanceof RelayTreeEvent.LeaveRequested) {
			this.leaveAnnouncer.start(now);
			this.heartbeatSender.markLeaving();
			this.heartbeatSender.requestImmediateHeartbeat();
		}
		else {
			onControlEvent(event);
		}
		this.heartbeatSender.sendIfDue(isLeader(), this.now);
		return this.outbox.drain();
	}

	/**
	 * Returns the version of the configuration in force at this node.
	 * @return the version, or empty while the floor is unconfirmed or newer than this
	 * node's replica
	 */
	public Optional<Version> versionInForce() {
		return this.streams.versionInForce();
	}

	/**
	 * Returns the instance of the current parent.
	 * @return the parent's identifier, or empty if the node has no parent
	 */
	public Optional<InstanceId> parent() {
		return this.parentSelector.parent().map(NodeDescriptor::id);
	}

	/**
	 * Returns the coverage of the latest configuration revision that this node has
	 * received.
	 * @return the coverage of this node's subtree, which at the leader contains all
	 * attached nodes
	 */
	public RevisionCoverage coverage() {
		return coverage(this.streams.configuration().version().number());
	}

	/**
	 * Returns the coverage of a configuration revision.
	 * @param revision the revision
	 * @return the coverage of this node's subtree, which at the leader contains all
	 * attached nodes
	 */
	public RevisionCoverage coverage(long revision) {
		return this.heartbeatSender.coverage(revision);
	}

	/**
	 * Returns the number of nodes that are attached to this node.
	 * @return the number of children
	 */
	public int childCount() {
		return this.children.all().size();
	}

	/**
	 * Returns the number of invariant violations detected by this node.
	 * @return the number of violations
	 */
	public long violationCount() {
		return this.invariants.violations();
	}

	/**
	 * Returns the latest leader term that this node has received.
	 * @return the term
	 */
	public Term term() {
		return this.streams.term();
	}

	/**
	 * Returns a snapshot of this node's replica of the membership stream.
	 * @return the snapshot
	 */
	public Snapshot memberSnapshot() {
		return this.streams.members().snapshot();
	}

	/**
	 * Finds an entry in this node's replica of the membership stream.
	 * @param key the entry's key
	 * @return a single change that sets the entry, or an empty list if the entry does not
	 * exist
	 */
	public List<EntryChange> findMemberEntry(String key) {
		return Optional.ofNullable(this.streams.members().entries().get(key))
			.map((value) -> List.of(EntryChange.set(key, value)))
			.orElse(List.of());
	}

	private boolean isControl() {
		return this.self.role() == NodeRole.CONTROL;
	}

	private boolean isLeader() {
		return this.leader.isPresent() && this.leader.get().equals(this.self.id());
	}

	private void start() {
		if (this.started) {
			return;
		}
		this.started = true;
		if (this.floorRequests.startNextRequest()) {
			requestFloor();
		}
	}

	private void tick() {
		if (isLeader() && isDue(this.lastHeartbeatSentAt, this.settings.rootHeartbeatInterval().toNanos())) {
			this.parentSelector.recordRootHeartbeat(this.streams.term(), this.parentSelector.rootSequence() + 1,
					this.now);
			sendHeartbeats();
		}
		else if (isDue(this.lastHeartbeatSentAt, this.settings.rootHeartbeatInterval().toNanos() * 3 / 2)) {
			sendHeartbeats();
		}
		this.children.expire(this.now - this.settings.childTimeout().toNanos())
			.forEach(this.floorRequests::removeChild);
		if (!isLeader()) {
			startFullReportIfParentChanged(this.parentSelector.tick(this.now));
		}
		if (isControl() && this.floorRequests.outstandingNonce() != 0
				&& isDue(this.lastFloorReadAt, this.settings.rootHeartbeatInterval().toNanos())) {
			readFloor();
		}
		this.prober.tick(this.now);
		this.leaveAnnouncer.tick(this.now);
		this.parentPlanner.refreshCandidates(this.children.all(), this.now);
	}

	private void onControlEvent(RelayTreeEvent event) {
		if (event instanceof RelayTreeEvent.ConfigurationCommitted committed) {
			this.streams.apply(StreamId.CONFIGURATION, committed.delta(), this.children.all(), this.now);
		}
		else if (event instanceof RelayTreeEvent.ConfigurationRestored restored) {
			this.streams.install(StreamId.CONFIGURATION, restored.snapshot(), this.children.all(), this.now);
		}
		else if (event instanceof RelayTreeEvent.FloorRead read) {
			onFloorConfirmed(read.token(), read.floor());
		}
		else if (event instanceof RelayTreeEvent.MembersChanged changed) {
			publishMembers(changed.changes());
		}
		else if (event instanceof RelayTreeEvent.LeaderChanged changed) {
			onLeaderChanged(changed);
		}
	}

	private void onLeaderChanged(RelayTreeEvent.LeaderChanged changed) {
		if (changed.term().isBefore(this.streams.term())) {
			return;
		}
		this.streams.advanceTerm(changed.term());
		this.leader = changed.leader();
		Optional<NodeDescriptor> newParent = this.leader.filter((id) -> !id.equals(this.self.id()))
			.flatMap(this::findControl);
		this.parentSelector.followLeader(newParent, this.now);
		if (isLeader()) {
			this.parentSelector.recordRootHeartbeat(this.streams.term(), 0, this.now);
			publishMembers(List.of());
		}
		startFullReportIfParentChanged(true);
	}

	private Optional<NodeDescriptor> findControl(InstanceId id) {
		return this.controls.stream().filter((control) -> control.id().equals(id)).findFirst();
	}

	private void publishMembers(List<EntryChange> changes) {
		if (isLeader()) {
			this.streams.publishMembers(changes, this.children.all(), this.now);
		}
	}

	private void receive(Peer from, RelayTreeMessage message) {
		if (message instanceof ChildHeartbeat heartbeat) {
			onChildHeartbeat(from, heartbeat);
		}
		else if (message instanceof ParentHeartbeat heartbeat) {
			onParentHeartbeat(from, heartbeat);
		}
		else if (message instanceof ParentCandidates candidates) {
			startFullReportIfParentChanged(this.parentSelector.onParentCandidates(from.id(), candidates, this.now));
		}
		else if (message instanceof DeltaUpdate update) {
			this.streams.onDeltas(from.id(), update, this.children.all(), this.now);
		}
		else if (message instanceof SnapshotUpdate update) {
			this.streams.onSnapshot(from.id(), update, this.children.all(), this.now);
		}
		else if (message instanceof FloorResponse response) {
			onFloorConfirmed(response.nonce(), response.floor());
		}
		else if (message instanceof LeaveNotice notice) {
			onLeaveNotice(notice);
		}
		else {
			this.prober.onMessage(from, message, this.now);
		}
	}

	private void onLeaveNotice(LeaveNotice notice) {
		if (isLeader()) {
			this.outbox.add(new RelayTreeCommand.HandleLeaveNotice(notice.node()));
		}
		else if (isControl()) {
			this.leader.flatMap(this::findControl).ifPresent((node) -> this.outbox.send(Peer.of(node), notice));
		}
	}

	private void onChildHeartbeat(Peer from, ChildHeartbeat heartbeat) {
		Optional<Child> existing = this.children.find(heartbeat.node().id());
		if (existing.isPresent() && heartbeat.node().incarnation().isBefore(existing.get().node().incarnation())) {
			return;
		}
		if (existing.isEmpty() && !acceptOrRedirectChild(from, heartbeat)) {
			return;
		}
		boolean isNew = existing.isEmpty() || !existing.get().node().equals(heartbeat.node());
		Child child = this.children.applyHeartbeat(heartbeat, this.now);
		if (isNew) {
			this.streams.initializeSentVersions(child);
			sendHeartbeat(child);
			this.parentPlanner.sendCandidates(child, this.now);
		}
		if (heartbeat.floorNonce() != 0 && this.floorRequests.addRequest(child.node().id(), heartbeat.floorNonce())) {
			requestFloor();
		}
		this.streams.sendMissingUpdates(child, heartbeat.resendRequested(), this.now);
	}

	private boolean acceptOrRedirectChild(Peer from, ChildHeartbeat heartbeat) {
		if (heartbeat.node().role() == NodeRole.CONTROL) {
			return isLeader();
		}
		if (this.self.role() == NodeRole.SIDECAR) {
			this.outbox.send(from, ParentCandidates.NONE);
			return false;
		}
		boolean hasCapacity = !this.children.isFull() && !this.parentSelector.isParent(from.id());
		ParentCandidates candidates = this.parentPlanner.candidatesFor(heartbeat.node(), this.now);
		boolean plannedBelowControl = candidates.nodes().isEmpty()
				|| candidates.nodes().get(0).role() == NodeRole.CONTROL;
		if (hasCapacity && (!isControl() || heartbeat.candidatesUnreachable() || plannedBelowControl)) {
			return true;
		}
		this.outbox.send(from, candidates.withAccepted(false));
		return false;
	}

	private void onParentHeartbeat(Peer from, ParentHeartbeat heartbeat) {
		if (!this.parentSelector.isParent(from.id())) {
			return;
		}
		boolean newRootHeartbeat = this.parentSelector.onHeartbeat(heartbeat, this.now);
		this.streams.advanceTerm(heartbeat.rootTerm());
		if (newRootHeartbeat) {
			sendHeartbeats();
		}
		this.heartbeatSender.onReportsAcknowledged(heartbeat.receivedReportSequence(), this.now);
		this.streams.compareWithParent(heartbeat, this.now);
	}

	private void onFloorConfirmed(long nonce, Floor floor) {
		FloorRequestTracker.CompletedRequests completed = this.floorRequests.completeRequest(nonce);
		this.heartbeatSender.setFloorNonce(this.floorRequests.outstandingNonce());
		if (completed.self()) {
			this.outbox.add(new RelayTreeCommand.ApplyFloor(floor));
			this.streams.setConfigurationFloor(floor.configuration());
		}
		completed.children()
			.forEach((child, request) -> this.children.find(child)
				.ifPresent((found) -> this.outbox.send(found.peer(), new FloorResponse(request, floor))));
		if (this.floorRequests.startNextRequest()) {
			requestFloor();
		}
	}

	private void readFloor() {
		this.lastFloorReadAt = this.now;
		this.outbox.add(new RelayTreeCommand.ReadFloor(this.floorRequests.outstandingNonce()));
	}

	private void requestFloor() {
		this.heartbeatSender.setFloorNonce(this.floorRequests.outstandingNonce());
		this.heartbeatSender.requestImmediateHeartbeat();
		if (isControl()) {
			readFloor();
		}
	}

	private void startFullReportIfParentChanged(boolean parentChanged) {
		if (parentChanged) {
			this.heartbeatSender.startFullReport(this.now);
		}
	}

	private void sendHeartbeats() {
		this.lastHeartbeatSentAt = this.now;
		this.children.all().forEach(this::sendHeartbeat);
	}

	private void sendHeartbeat(Child child) {
		this.outbox.send(child.peer(),
				new ParentHeartbeat(this.parentSelector.rootTerm(), this.parentSelector.rootSequence(),
						this.streams.configuration().position(), this.streams.members().position(),
						child.receivedReportSequence()));
	}

	private boolean isDue(long since, long interval) {
		return this.now - since >= interval;
	}

}
