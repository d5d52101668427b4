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
 * Virtual time, the network and all processes.
 */
final class World {

	private final PriorityQueue<Timed> queue = new PriorityQueue<>();

	private final Network network;

	private final Observer observer;

	private final Faults faults;

	private final Invariants invariants = new Invariants();

	private final List<EntryNode> entries = new ArrayList<>();

	private final List<SidecarNode> sidecars = new ArrayList<>();

	private final Map<String, EntryNode> entriesByName = new HashMap<>();

	private final Map<String, SidecarNode> sidecarsByName = new HashMap<>();

	private final LedgerNode ledger;

	private DecisionListener listener = DecisionListener.NONE;

	private long now;

	private long order;

	World(Network network, Observer observer, Faults faults) {
		this.network = network;
		this.observer = observer;
		this.faults = faults;
		this.ledger = new LedgerNode(this);
	}

	void listenTo(DecisionListener decisions) {
		this.listener = decisions;
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
		sidecar.publish();
		return sidecar;
	}

	long now() {
		return this.now;
	}

	Observer observer() {
		return this.observer;
	}

	Faults faults() {
		return this.faults;
	}

	Invariants invariants() {
		return this.invariants;
	}

	DecisionListener listener() {
		return this.listener;
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
	 * Sends a message; each copy arrives if the receiver is alive then.
	 * @param from the sender
	 * @param to the receiver
	 * @param action what the receiver does with each copy
	 */
	void send(Node from, Node to, Runnable action) {
		for (Duration delay : this.network.plan(from, to)) {
			after(delay, () -> {
				if (to.isAlive()) {
					action.run();
				}
			});
		}
	}

	/**
	 * Runs an action unless the process has stopped or restarted until then.
	 * @param node the process
	 * @param delay how long to wait
	 * @param action the action
	 */
	void afterIfSame(Node node, Duration delay, Runnable action) {
		long life = node.life();
		after(delay, () -> {
			if (node.isAlive() && node.life() == life) {
				action.run();
			}
		});
	}

	void after(Duration delay, Runnable action) {
		this.queue.add(new Timed(this.now + delay.toNanos(), this.order++, action));
	}

	void runUntil(long time) {
		while (!this.queue.isEmpty() && this.queue.peek().at() <= time) {
			Timed next = this.queue.poll();
			this.now = next.at();
			next.action().run();
		}
		this.now = Math.max(this.now, time);
	}

	private record Timed(long at, long order, Runnable action) implements Comparable<Timed> {

		@Override
		public int compareTo(Timed other) {
			int byTime = Long.compare(this.at, other.at);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

}
