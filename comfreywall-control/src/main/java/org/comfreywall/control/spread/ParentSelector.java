package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.comfreywall.common.decision.DecisionKind;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.decision.DecisionRecord;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;

/**
 * Selects a node's parent and monitors it with the heartbeats that it sends.
 * <p>
 * A parent is replaced if it does not respond, if its heartbeats stop, or if they do not
 * carry a new root heartbeat within a timeout. A root heartbeat is a heartbeat of the
 * leader, which the nodes relay down the tree. Only the last condition detects a cycle or
 * a subtree that has lost its path to the leader, because the parents in it still
 * respond.
 */
final class ParentSelector {

	private static final long AVOID_DURATION_NANOS = 10_000_000_000L;

	private static final long MAX_MOVE_DELAY_NANOS = 5_000_000_000L;

	private static final long MIN_RETRY_DELAY_NANOS = 500_000_000L;

	private static final int MAX_AVOIDED = 64;

	private final InstanceId self;

	private final List<NodeDescriptor> seeds;

	private final RelayTreeSettings settings;

	private final RandomGenerator random;

	private final DecisionListener decisions;

	private final Map<InstanceId, Long> avoidUntil = new HashMap<>();

	private ParentCandidates candidates = ParentCandidates.NONE;

	private Optional<NodeDescriptor> parent = Optional.empty();

	private boolean confirmed;

	private boolean candidatesUnreachable;

	private long attachedAt;

	private long lastParentHeartbeatAt;

	private long moveAt = Long.MAX_VALUE;

	private long retryAt = Long.MIN_VALUE;

	private Term rootTerm = Term.ZERO;

	private long rootSequence;

	private long lastRootHeartbeatAt;

	private int rootTimeoutFactor = 1;

	private double rootTimeoutJitter;

	ParentSelector(NodeDescriptor self, List<NodeDescriptor> seeds, RelayTreeSettings settings, RandomGenerator random,
			DecisionListener decisions) {
		this.self = self.id();
		this.seeds = new ArrayList<>(seeds);
		Collections.shuffle(this.seeds, new Random(random.nextLong()));
		this.seeds.sort(Comparator.comparing((seed) -> !seed.region().equals(self.region())));
		this.settings = settings;
		this.random = random;
		this.decisions = decisions;
	}

	Optional<NodeDescriptor> parent() {
		return this.parent;
	}

	boolean isParent(InstanceId id) {
		return this.parent.isPresent() && this.parent.get().id().equals(id);
	}

	boolean isConfirmed() {
		return this.confirmed;
	}

	boolean areCandidatesUnreachable() {
		return this.candidatesUnreachable;
	}

	Term rootTerm() {
		return this.rootTerm;
	}

	long rootSequence() {
		return this.rootSequence;
	}

	/**
	 * Detaches from the current parent and makes the leader the only parent candidate.
	 * @param leader the leader, or empty if there is none or this node is the leader
	 * @param now the current monotonic time in nanoseconds
	 */
	void followLeader(Optional<NodeDescriptor> leader, long now) {
		this.seeds.clear();
		leader.ifPresent(this.seeds::add);
		this.candidates = ParentCandidates.NONE;
		this.avoidUntil.clear();
		detach();
		if (leader.isPresent()) {
			attach(leader.get(), "leader-changed", now);
		}
	}

	/**
	 * Records a heartbeat from the parent.
	 * @param heartbeat the heartbeat
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if it carries a new root heartbeat
	 */
	boolean onHeartbeat(ParentHeartbeat heartbeat, long now) {
		this.confirmed = true;
		this.lastParentHeartbeatAt = now;
		this.candidatesUnreachable = false;
		int order = heartbeat.rootTerm().compareTo(this.rootTerm);
		if (order < 0 || (order == 0 && heartbeat.rootSequence() <= this.rootSequence)) {
			return false;
		}
		recordRootHeartbeat(heartbeat.rootTerm(), heartbeat.rootSequence(), now);
		this.rootTimeoutFactor = 1;
		return true;
	}

	void recordRootHeartbeat(Term term, long sequence, long now) {
		this.rootTerm = term;
		this.rootSequence = sequence;
		this.lastRootHeartbeatAt = now;
	}

	/**
	 * Handles the parent candidates sent by the current parent. If the parent has
	 * rejected this node, the next candidate is selected immediately. If the parent is
	 * not a preferred candidate, this node moves after a random delay, so that the
	 * children of one parent do not all move at the same time.
	 * @param from the sender
	 * @param received the candidates
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	boolean onParentCandidates(InstanceId from, ParentCandidates received, long now) {
		if (!isParent(from)) {
			return false;
		}
		this.candidates = received;
		if (!received.accepted()) {
			this.avoidUntil.put(from, now + AVOID_DURATION_NANOS);
			return selectNextParent("redirected", now);
		}
		boolean preferred = received.nodes()
			.stream()
			.limit(received.preferredCount())
			.anyMatch((node) -> isParent(node.id()));
		boolean stay = preferred || received.preferredCount() == 0;
		long delay = this.random.nextLong(MAX_MOVE_DELAY_NANOS);
		this.moveAt = stay ? Long.MAX_VALUE : Math.min(this.moveAt, now + delay);
		return false;
	}

	/**
	 * Replaces the parent if the lost connection was the one to the parent.
	 * @param peer the peer to which the connection was lost
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	boolean onConnectionLost(InstanceId peer, long now) {
		return isParent(peer) && replaceFailedParent("connection-lost", now);
	}

	/**
	 * Replaces the parent if a timeout has expired or a planned move is due.
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	boolean tick(long now) {
		if (this.parent.isEmpty()) {
			return now >= this.retryAt && selectNextParent("none", now);
		}
		if (!this.confirmed) {
			boolean timedOut = now - this.attachedAt > this.settings.connectTimeout().toNanos();
			return timedOut && replaceFailedParent("no-answer", now);
		}
		if (now - this.lastParentHeartbeatAt > this.settings.parentTimeout().toNanos()) {
			return replaceFailedParent("silent", now);
		}
		if (isRootTimedOut(now)) {
			this.rootTimeoutFactor = Math.min(this.rootTimeoutFactor * 2, RelayTreeSettings.MAX_ROOT_TIMEOUT_FACTOR);
			return attachToControl(now);
		}
		if (now >= this.moveAt) {
			return selectNextParent("planned", now);
		}
		return false;
	}

	private boolean isRootTimedOut(long now) {
		long timeout = this.settings.rootTimeout().toNanos() * this.rootTimeoutFactor;
		return now - Math.max(this.lastRootHeartbeatAt, this.attachedAt) > timeout
				+ (long) (this.rootTimeoutJitter * timeout);
	}

	/**
	 * Attaches to a control instance. Control instances attach directly to the leader,
	 * and assign parents from a plan without cycles, so that this node has a path to the
	 * leader again.
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	private boolean attachToControl(long now) {
		Optional<NodeDescriptor> previous = this.parent;
		previous.ifPresent((node) -> this.avoidUntil.put(node.id(), now + AVOID_DURATION_NANOS));
		Optional<NodeDescriptor> control = firstUsable(this.seeds);
		if (control.isEmpty()) {
			return selectNextParent("leader-not-heard", now);
		}
		detach();
		attach(control.get(), "leader-not-heard", now);
		return true;
	}

	private boolean replaceFailedParent(String reason, long now) {
		this.parent.ifPresent((node) -> this.avoidUntil.put(node.id(), now + AVOID_DURATION_NANOS));
		return selectNextParent(reason, now);
	}

	private boolean selectNextParent(String reason, long now) {
		this.avoidUntil.values().removeIf((until) -> until <= now || this.avoidUntil.size() > MAX_AVOIDED);
		detach();
		Optional<NodeDescriptor> candidate = firstUsable(this.candidates.nodes());
		this.candidatesUnreachable = candidate.isEmpty() && !this.candidates.nodes().isEmpty();
		Optional<NodeDescriptor> chosen = candidate.isPresent() ? candidate : firstUsable(this.seeds);
		if (chosen.isEmpty()) {
			this.avoidUntil.clear();
			this.candidates = ParentCandidates.NONE;
			this.retryAt = now + MIN_RETRY_DELAY_NANOS + this.random.nextLong(MIN_RETRY_DELAY_NANOS);
		}
		chosen.ifPresent((node) -> attach(node, reason, now));
		return chosen.isPresent();
	}

	private Optional<NodeDescriptor> firstUsable(List<NodeDescriptor> nodes) {
		return nodes.stream()
			.filter((node) -> !node.id().equals(this.self) && !this.avoidUntil.containsKey(node.id()))
			.findFirst();
	}

	private void detach() {
		this.parent = Optional.empty();
		this.confirmed = false;
		this.moveAt = Long.MAX_VALUE;
	}

	private void attach(NodeDescriptor node, String reason, long now) {
		this.parent = Optional.of(node);
		this.attachedAt = now;
		this.rootTimeoutJitter = this.random.nextDouble();
		this.lastParentHeartbeatAt = now;
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.MEMBERSHIP, this.self.value(), "parent-chosen",
				Field.of("parent", node.id()), Field.of("reason", reason)));
	}

}
