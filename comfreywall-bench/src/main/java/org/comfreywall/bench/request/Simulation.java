package org.comfreywall.bench.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.invariant.Invariants;

/**
 * Discrete-event simulation of the network, the entries, the sidecars and the ledgers. It
 * is single-threaded, and actions due at the same time run in the order in which they
 * were scheduled.
 */
final class Simulation {

	private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();

	private final Network network;

	private final RuleChecker ruleChecker;

	private final Faults faults;

	private final Invariants invariants = new Invariants();

	private final List<EntryNode> entries = new ArrayList<>();

	private final List<SidecarNode> sidecars = new ArrayList<>();

	private final Map<String, EntryNode> entriesByName = new HashMap<>();

	private final Map<String, SidecarNode> sidecarsByName = new HashMap<>();

	private final LedgerNode ledger;

	private DecisionListener decisionListener = DecisionListener.NONE;

	private long now;

	private long nextSequence;

	Simulation(Network network, RuleChecker ruleChecker, Faults faults) {
		this.network = network;
		this.ruleChecker = ruleChecker;
		this.faults = faults;
		this.ledger = new LedgerNode(this);
	}

	void setDecisionListener(DecisionListener listener) {
		this.decisionListener = listener;
	}

	EntryNode addEntry(String name, int region) {
		EntryNode entry = new EntryNode(this, name, region);
		this.entries.add(entry);
		this.entriesByName.put(name, entry);
		return entry;
	}

	SidecarNode addSidecar(String name, int region) {
		SidecarNode sidecar = new SidecarNode(this, name, region);
		this.sidecars.add(sidecar);
		this.sidecarsByName.put(name, sidecar);
		sidecar.publishState();
		return sidecar;
	}

	long now() {
		return this.now;
	}

	RuleChecker ruleChecker() {
		return this.ruleChecker;
	}

	Faults faults() {
		return this.faults;
	}

	Invariants invariants() {
		return this.invariants;
	}

	DecisionListener decisionListener() {
		return this.decisionListener;
	}

	LedgerNode ledger() {
		return this.ledger;
	}

	List<EntryNode> entries() {
		return this.entries;
	}

	List<SidecarNode> sidecars() {
		return this.sidecars;
	}

	EntryNode entry(String name) {
		return this.entriesByName.get(name);
	}

	SidecarNode sidecar(String name) {
		return this.sidecarsByName.get(name);
	}

	/**
	 * Sends a message. Each copy is delivered if the receiver runs when it arrives.
	 * @param from the sender
	 * @param to the receiver
	 * @param action handles one copy at the receiver
	 */
	void send(Node from, Node to, Runnable action) {
		for (Duration delay : this.network.deliveryDelays(from, to)) {
			schedule(delay, () -> {
				if (to.isAlive()) {
					action.run();
				}
			});
		}
	}

	/**
	 * Runs an action after a delay unless the process has stopped or restarted by then.
	 * @param node the process
	 * @param delay the delay in virtual time
	 * @param action the action
	 */
	void scheduleUnlessRestarted(Node node, Duration delay, Runnable action) {
		long incarnation = node.incarnationNumber();
		schedule(delay, () -> {
			if (node.isAlive() && node.incarnationNumber() == incarnation) {
				action.run();
			}
		});
	}

	void schedule(Duration delay, Runnable action) {
		this.queue.add(new ScheduledAction(this.now + delay.toNanos(), this.nextSequence++, action));
	}

	void runUntil(long time) {
		while (!this.queue.isEmpty() && this.queue.peek().timeNanos() <= time) {
			ScheduledAction next = this.queue.poll();
			this.now = next.timeNanos();
			next.action().run();
		}
		this.now = Math.max(this.now, time);
	}

	private record ScheduledAction(long timeNanos, long sequence,
			Runnable action) implements Comparable<ScheduledAction> {

		@Override
		public int compareTo(ScheduledAction other) {
			int byTime = Long.compare(this.timeNanos, other.timeNanos);
			return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
		}

	}

}
