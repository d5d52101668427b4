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
 * Selects a node's parent and monitors it.
 * <p>
 * A parent is replaced when it does not respond, when its beats stop, or when its beats
 * carry no new leader beat for too long. The last condition breaks cycles and subtrees
 * that are cut off from the leader.
 */
final class ParentLink {

	private static final long AVOID_DURATION_NANOS = 10_000_000_000L;

	private static final long MAX_MOVE_DELAY_NANOS = 5_000_000_000L;

	private static final long MIN_RETRY_DELAY_NANOS = 500_000_000L;

	private static final int MAX_AVOIDED = 64;

	private final InstanceId self;

	private final List<NodeDescriptor> seeds;

	private final SpreadSettings settings;

	private final RandomGenerator random;

	private final DecisionListener decisions;

	private final Map<InstanceId, Long> avoidUntil = new HashMap<>();

	private ParentList candidates = ParentList.NONE;

	private Optional<NodeDescriptor> parent = Optional.empty();

	private boolean confirmed;

	private boolean stranded;

	private long attachedAt;

	private long lastBeatAt;

	private long moveAt = Long.MAX_VALUE;

	private long retryAt = Long.MIN_VALUE;

	private Term rootTerm = Term.ZERO;

	private long rootSequence;

	private long lastRootBeatAt;

	private int staleFactor = 1;

	private double rootStaleJitter;

	ParentLink(NodeDescriptor self, List<NodeDescriptor> seeds, SpreadSettings settings, RandomGenerator random,
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

	boolean isStranded() {
		return this.stranded;
	}

	Term rootTerm() {
		return this.rootTerm;
	}

	long rootSequence() {
		return this.rootSequence;
	}

	/**
	 * Makes the leader the only candidate and detaches from the current parent.
	 * @param leader the leader, or empty if there is none or this node is the leader
	 * @param now the current monotonic time in nanoseconds
	 */
	void followLeader(Optional<NodeDescriptor> leader, long now) {
		this.seeds.clear();
		leader.ifPresent(this.seeds::add);
		this.candidates = ParentList.NONE;
		this.avoidUntil.clear();
		detach();
		if (leader.isPresent()) {
			attach(leader.get(), "leader-changed", now);
		}
	}

	/**
	 * Records a beat from the parent.
	 * @param beat the beat
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if it carries a new beat of the leader
	 */
	boolean onBeat(Beat beat, long now) {
		this.confirmed = true;
		this.lastBeatAt = now;
		this.stranded = false;
		int order = beat.rootTerm().compareTo(this.rootTerm);
		if (order < 0 || (order == 0 && beat.rootSequence() <= this.rootSequence)) {
			return false;
		}
		recordRootBeat(beat.rootTerm(), beat.rootSequence(), now);
		this.staleFactor = 1;
		return true;
	}

	void recordRootBeat(Term term, long sequence, long now) {
		this.rootTerm = term;
		this.rootSequence = sequence;
		this.lastRootBeatAt = now;
	}

	/**
	 * Handles the current parent's list of candidates. If the parent rejects this node,
	 * the next candidate is selected at once; if the parent is not a preferred one, this
	 * node moves after a random delay so that not all children move at the same time.
	 * @param from the sender
	 * @param parents the list
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	boolean onParentList(InstanceId from, ParentList parents, long now) {
		if (!isParent(from)) {
			return false;
		}
		this.candidates = parents;
		if (!parents.adopted()) {
			this.avoidUntil.put(from, now + AVOID_DURATION_NANOS);
			return selectNext("redirected", now);
		}
		boolean preferred = parents.parents()
			.stream()
			.limit(parents.preferred())
			.anyMatch((node) -> isParent(node.id()));
		boolean stay = preferred || parents.preferred() == 0;
		long delay = this.random.nextLong(MAX_MOVE_DELAY_NANOS);
		this.moveAt = stay ? Long.MAX_VALUE : Math.min(this.moveAt, now + delay);
		return false;
	}

	/**
	 * Replaces the parent if the connection to it was lost.
	 * @param peer the peer
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	boolean onConnectionLost(InstanceId peer, long now) {
		return isParent(peer) && replaceFailedParent("connection-lost", now);
	}

	/**
	 * Replaces the parent if it has failed or a planned move is due.
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	boolean tick(long now) {
		if (this.parent.isEmpty()) {
			return now >= this.retryAt && selectNext("none", now);
		}
		if (!this.confirmed) {
			boolean timedOut = now - this.attachedAt > this.settings.connectTimeout().toNanos();
			return timedOut && replaceFailedParent("no-answer", now);
		}
		if (now - this.lastBeatAt > this.settings.silenceTimeout().toNanos()) {
			return replaceFailedParent("silent", now);
		}
		if (isRootStale(now)) {
			this.staleFactor = Math.min(this.staleFactor * 2, SpreadSettings.MAX_STALE_FACTOR);
			return attachToControl(now);
		}
		if (now >= this.moveAt) {
			return selectNext("planned", now);
		}
		return false;
	}

	private boolean isRootStale(long now) {
		long timeout = this.settings.rootStaleTimeout().toNanos() * this.staleFactor;
		return now - Math.max(this.lastRootBeatAt, this.attachedAt) > timeout + (long) (this.rootStaleJitter * timeout);
	}

	/**
	 * Attaches to a control instance, whose planned tree contains no cycles and no
	 * subtree without a path to the leader.
	 * @param now the current monotonic time in nanoseconds
	 * @return {@code true} if the parent has changed
	 */
	private boolean attachToControl(long now) {
		Optional<NodeDescriptor> previous = this.parent;
		previous.ifPresent((node) -> this.avoidUntil.put(node.id(), now + AVOID_DURATION_NANOS));
		Optional<NodeDescriptor> control = firstUsable(this.seeds);
		if (control.isEmpty()) {
			return selectNext("leader-not-heard", now);
		}
		detach();
		attach(control.get(), "leader-not-heard", now);
		return true;
	}

	private boolean replaceFailedParent(String reason, long now) {
		this.parent.ifPresent((node) -> this.avoidUntil.put(node.id(), now + AVOID_DURATION_NANOS));
		return selectNext(reason, now);
	}

	private boolean selectNext(String reason, long now) {
		this.avoidUntil.values().removeIf((until) -> until <= now || this.avoidUntil.size() > MAX_AVOIDED);
		detach();
		Optional<NodeDescriptor> candidate = firstUsable(this.candidates.parents());
		this.stranded = candidate.isEmpty() && !this.candidates.parents().isEmpty();
		Optional<NodeDescriptor> chosen = candidate.isPresent() ? candidate : firstUsable(this.seeds);
		if (chosen.isEmpty()) {
			this.avoidUntil.clear();
			this.candidates = ParentList.NONE;
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
		this.rootStaleJitter = this.random.nextDouble();
		this.lastBeatAt = now;
		this.decisions.onDecision(DecisionRecord.of(DecisionKind.MEMBERSHIP, this.self.value(), "parent-chosen",
				Field.of("parent", node.id()), Field.of("reason", reason)));
	}

}
