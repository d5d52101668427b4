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
 * The core of one node of the relay tree.
 * <p>
 * It selects a parent. It sends configuration, membership and the leader's beats down the
 * tree, and heartbeats, reports, coverage and requests for the floor up. It is not
 * thread-safe.
 */
public final class SpreadNode implements SpreadCore {

	private static final long PARENTS_INTERVAL_NANOS = Duration.ofSeconds(5).toNanos();

	private static final long TREE_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	private final NodeDescriptor self;

	private final List<NodeDescriptor> controls;

	private final SpreadSettings settings;

	private final Invariants invariants = new Invariants();

	private final Outbox outbox = new Outbox();

	private final Streams streams;

	private final ParentPlanner planner;

	private final Children children;

	private final ParentLink link;

	private final FloorTracker floorTracker;

	private final Prober prober;

	private final LeaveAnnouncer leaveAnnouncer;

	private final Uplink uplink;

	private Optional<InstanceId> leader = Optional.empty();

	private long now;

	private long lastBeatAt;

	private long lastFloorReadAt;

	private boolean started;

	/**
	 * Creates a node without a parent; its only known peers are the control instances.
	 * @param self the node; its incarnation is greater than that of every earlier start
	 * @param controls the control instances; their incarnations are not used
	 * @param settings the settings
	 * @param directory decodes the entries of the membership stream
	 * @param random the source of randomness
	 * @param decisions receives the decisions
	 */
	public SpreadNode(NodeDescriptor self, List<NodeDescriptor> controls, SpreadSettings settings,
			MemberDirectory directory, RandomGenerator random, DecisionListener decisions) {
		this.self = Preconditions.notNull(self, "self");
		this.controls = List.copyOf(controls);
		this.settings = Preconditions.notNull(settings, "settings");
		this.streams = new Streams(self, settings, this.invariants, decisions, this.outbox);
		ReportQueue reports = new ReportQueue();
		this.children = new Children(settings.maxChildren(), reports::add);
		this.link = new ParentLink(self, isControl() ? List.of() : this.controls, settings, random, decisions);
		this.planner = new ParentPlanner(self.role(), this.controls, settings, directory, this.streams.members(),
				this.outbox);
		this.floorTracker = new FloorTracker(random);
		this.prober = new Prober(self, this.outbox);
		this.leaveAnnouncer = new LeaveAnnouncer(self, this.controls, this.outbox);
		this.uplink = new Uplink(self, settings, this.link, this.streams, this.children, reports, this.outbox);
	}

	@Override
	public List<SpreadCommand> on(SpreadEvent event, long now) {
		Preconditions.notNull(event, "event");
		this.now = now;
		start();
		if (event instanceof SpreadEvent.Tick) {
			tick();
		}
		else if (event instanceof SpreadEvent.Received received) {
			receive(received.from(), received.message());
		}
		else if (event instanceof SpreadEvent.PeerLost lost) {
			parentChanged(this.link.onConnectionLost(lost.peer(), now));
		}
		else if (event instanceof SpreadEvent.LeaveRequested) {
			this.leaveAnnouncer.start(now);
			this.uplink.markLeaving();
			this.uplink.requestImmediateHeartbeat();
		}
		else {
			onControlEvent(event);
		}
		this.uplink.flush(isLeader(), this.now);
		return this.outbox.drain();
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, or empty if the floor has not been confirmed and reached yet
	 */
	public Optional<Version> inForce() {
		return this.streams.inForce();
	}

	/**
	 * Returns the current parent.
	 * @return the parent, or empty if there is none
	 */
	public Optional<InstanceId> parent() {
		return this.link.parent().map(NodeDescriptor::id);
	}

	/**
	 * Returns the coverage of this node's latest configuration revision in its subtree.
	 * @return the coverage; at the leader, of all nodes that are attached
	 */
	public Coverage coverage() {
		return coverage(this.streams.configuration().version().number());
	}

	/**
	 * Returns the coverage of a configuration revision in this node's subtree.
	 * @param number the revision
	 * @return the coverage; at the leader, of all nodes that are attached
	 */
	public Coverage coverage(long number) {
		return this.uplink.coverage(number);
	}

	/**
	 * Returns the number of children.
	 * @return the count
	 */
	public int childCount() {
		return this.children.all().size();
	}

	/**
	 * Returns the number of invariant violations.
	 * @return the count
	 */
	public long breaches() {
		return this.invariants.violations();
	}

	/**
	 * Returns the latest leader term known to this node.
	 * @return the term
	 */
	public Term term() {
		return this.streams.term();
	}

	/**
	 * Returns this node's copy of the membership stream.
	 * @return the snapshot
	 */
	public Snapshot memberSnapshot() {
		return this.streams.members().snapshot();
	}

	/**
	 * Finds one entry of the membership stream.
	 * @param key the entry's key
	 * @return the change that sets it, or empty if there is none
	 */
	public List<EntryChange> findMember(String key) {
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
		if (this.floorTracker.startNextRequest()) {
			requestFloor();
		}
	}

	private void tick() {
		if (isLeader() && isDue(this.lastBeatAt, this.settings.beatInterval().toNanos())) {
			this.link.recordRootBeat(this.streams.term(), this.link.rootSequence() + 1, this.now);
			sendBeats();
		}
		else if (isDue(this.lastBeatAt, this.settings.beatInterval().toNanos() * 3 / 2)) {
			sendBeats();
		}
		this.children.expire(this.now - this.settings.childTimeout().toNanos()).forEach(this.floorTracker::removeChild);
		if (!isLeader()) {
			parentChanged(this.link.tick(this.now));
		}
		if (isControl() && this.floorTracker.nonce() != 0
				&& isDue(this.lastFloorReadAt, this.settings.beatInterval().toNanos())) {
			readFloor();
		}
		this.prober.tick(this.now);
		this.leaveAnnouncer.tick(this.now);
		this.planner.refresh(this.children.all(), this.now);
	}

	private void onControlEvent(SpreadEvent event) {
		if (event instanceof SpreadEvent.ConfigurationCommitted accepted) {
			this.streams.apply(StreamId.CONFIGURATION, accepted.delta(), this.children.all(), this.now);
		}
		else if (event instanceof SpreadEvent.ConfigurationRestored restored) {
			this.streams.install(StreamId.CONFIGURATION, restored.snapshot(), this.children.all(), this.now);
		}
		else if (event instanceof SpreadEvent.FloorRead read) {
			onFloorConfirmed(read.token(), read.floor());
		}
		else if (event instanceof SpreadEvent.MembersChanged changed) {
			publishMembers(changed.changes());
		}
		else if (event instanceof SpreadEvent.LeaderChanged changed) {
			leaderChanged(changed);
		}
	}

	private void leaderChanged(SpreadEvent.LeaderChanged changed) {
		if (changed.term().isBefore(this.streams.term())) {
			return;
		}
		this.streams.advanceTerm(changed.term());
		this.leader = changed.leader();
		Optional<NodeDescriptor> newParent = this.leader.filter((id) -> !id.equals(this.self.id()))
			.flatMap(this::findControl);
		this.link.followLeader(newParent, this.now);
		if (isLeader()) {
			this.link.recordRootBeat(this.streams.term(), 0, this.now);
			publishMembers(List.of());
		}
		parentChanged(true);
	}

	private Optional<NodeDescriptor> findControl(InstanceId id) {
		return this.controls.stream().filter((control) -> control.id().equals(id)).findFirst();
	}

	private void publishMembers(List<EntryChange> changes) {
		if (isLeader()) {
			this.streams.publishMembers(changes, this.children.all(), this.now);
		}
	}

	private void receive(Peer from, SpreadMessage message) {
		if (message instanceof Heartbeat heartbeat) {
			onHeartbeat(from, heartbeat);
		}
		else if (message instanceof Beat beat) {
			onBeat(from, beat);
		}
		else if (message instanceof ParentList parents) {
			parentChanged(this.link.onParentList(from.id(), parents, this.now));
		}
		else if (message instanceof DeltaUpdate update) {
			this.streams.onDeltas(from.id(), update, this.children.all(), this.now);
		}
		else if (message instanceof SnapshotUpdate update) {
			this.streams.onSnapshot(from.id(), update, this.children.all(), this.now);
		}
		else if (message instanceof FloorResponse answer) {
			onFloorConfirmed(answer.nonce(), answer.floor());
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
			this.outbox.add(new SpreadCommand.LeaveNoticeReceived(notice.node()));
		}
		else if (isControl()) {
			this.leader.flatMap(this::findControl).ifPresent((node) -> this.outbox.send(Peer.of(node), notice));
		}
	}

	private void onHeartbeat(Peer from, Heartbeat heartbeat) {
		Optional<Child> known = this.children.find(heartbeat.node().id());
		if (known.isPresent() && heartbeat.node().incarnation().isBefore(known.get().node().incarnation())) {
			return;
		}
		if (known.isEmpty() && !acceptsChild(from, heartbeat)) {
			return;
		}
		boolean isNew = known.isEmpty() || !known.get().node().equals(heartbeat.node());
		Child child = this.children.applyHeartbeat(heartbeat, this.now);
		if (isNew) {
			this.streams.initializeSentVersions(child);
			sendBeat(child);
			this.planner.send(child, this.now);
		}
		if (heartbeat.floorNonce() != 0 && this.floorTracker.addRequest(child.node().id(), heartbeat.floorNonce())) {
			requestFloor();
		}
		this.streams.sendMissingUpdates(child, heartbeat.resend(), this.now);
	}

	private boolean acceptsChild(Peer from, Heartbeat heartbeat) {
		if (heartbeat.node().role() == NodeRole.CONTROL) {
			return isLeader();
		}
		if (this.self.role() == NodeRole.SIDECAR) {
			this.outbox.send(from, ParentList.NONE);
			return false;
		}
		boolean hasCapacity = !this.children.isFull() && !this.link.isParent(from.id());
		ParentList parents = this.planner.parentsOf(heartbeat.node(), this.now);
		boolean plannedBelowControl = parents.parents().isEmpty()
				|| parents.parents().get(0).role() == NodeRole.CONTROL;
		if (hasCapacity && (!isControl() || heartbeat.stranded() || plannedBelowControl)) {
			return true;
		}
		this.outbox.send(from, parents.withAdopted(false));
		return false;
	}

	private void onBeat(Peer from, Beat beat) {
		if (!this.link.isParent(from.id())) {
			return;
		}
		boolean isNewRootBeat = this.link.onBeat(beat, this.now);
		this.streams.advanceTerm(beat.rootTerm());
		if (isNewRootBeat) {
			sendBeats();
		}
		this.uplink.onReportsAcknowledged(beat.reportsReceived(), this.now);
		this.streams.compareWithParent(beat, this.now);
	}

	private void onFloorConfirmed(long nonce, Floor floor) {
		FloorTracker.CompletedRequests answered = this.floorTracker.completeRequest(nonce);
		this.uplink.setFloorNonce(this.floorTracker.nonce());
		if (answered.self()) {
			this.outbox.add(new SpreadCommand.FloorConfirmed(floor));
			this.streams.floorConfirmed(floor.configuration());
		}
		answered.children()
			.forEach((child, request) -> this.children.find(child)
				.ifPresent((found) -> this.outbox.send(found.peer(), new FloorResponse(request, floor))));
		if (this.floorTracker.startNextRequest()) {
			requestFloor();
		}
	}

	private void readFloor() {
		this.lastFloorReadAt = this.now;
		this.outbox.add(new SpreadCommand.ReadFloor(this.floorTracker.nonce()));
	}

	private void requestFloor() {
		this.uplink.setFloorNonce(this.floorTracker.nonce());
		this.uplink.requestImmediateHeartbeat();
		if (isControl()) {
			readFloor();
		}
	}

	private void parentChanged(boolean changed) {
		if (changed) {
			this.uplink.startFullReport(this.now);
		}
	}

	private void sendBeats() {
		this.lastBeatAt = this.now;
		this.children.all().forEach(this::sendBeat);
	}

	private void sendBeat(Child child) {
		this.outbox.send(child.peer(), new Beat(this.link.rootTerm(), this.link.rootSequence(),
				this.streams.configuration().position(), this.streams.members().position(), child.reportsReceived()));
	}

	private boolean isDue(long since, long interval) {
		return this.now - since >= interval;
	}

}
