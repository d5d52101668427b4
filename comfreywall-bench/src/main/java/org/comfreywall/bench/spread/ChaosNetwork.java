package org.comfreywall.bench.spread;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.spread.NodeDescriptor;

/**
 * Loses, delays, reorders and duplicates messages and cuts links, also in one direction
 * only.
 */
final class ChaosNetwork implements Network {

	private static final long CALM_DELAY_NANOS = Duration.ofMillis(1).toNanos();

	private static final long MAX_DELAY_NANOS = Duration.ofMillis(1500).toNanos();

	private static final int MAX_CUTS = 40;

	private final Random random;

	private final Set<Link> cuts = new HashSet<>();

	private Optional<InstanceId> deafened = Optional.empty();

	private double loss;

	private double duplication;

	private double lateness;

	ChaosNetwork(long seed) {
		this.random = new Random(seed);
	}

	void heal() {
		this.cuts.clear();
		this.deafened = Optional.empty();
		this.loss = 0;
		this.duplication = 0;
		this.lateness = 0;
	}

	void disturb() {
		this.loss = this.random.nextDouble() * this.random.nextDouble() * 0.4;
		this.duplication = this.random.nextDouble() * 0.1;
		this.lateness = this.random.nextDouble() * this.random.nextDouble() * 0.5;
	}

	/**
	 * Keeps all messages from a node until the network is healed.
	 * @param node the node
	 */
	void deafen(InstanceId node) {
		this.deafened = Optional.of(node);
	}

	void cut(InstanceId from, InstanceId to) {
		if (this.cuts.size() < MAX_CUTS) {
			this.cuts.add(new Link(from, to));
		}
	}

	void isolate(InstanceId node, List<InstanceId> others, boolean in, boolean out) {
		for (InstanceId other : others) {
			if (in) {
				this.cuts.add(new Link(other, node));
			}
			if (out) {
				this.cuts.add(new Link(node, other));
			}
		}
	}

	void mendSome() {
		List<Link> all = new ArrayList<>(this.cuts);
		all.stream().filter((link) -> this.random.nextInt(3) > 0).forEach(this.cuts::remove);
	}

	boolean connects(InstanceId from, InstanceId to) {
		return !isCut(from, to) && !isCut(to, from);
	}

	@Override
	public OptionalLong delay(NodeDescriptor from, NodeDescriptor to) {
		if (isCut(from.id(), to.id()) || this.random.nextDouble() < this.loss) {
			return OptionalLong.empty();
		}
		boolean late = this.random.nextDouble() < this.lateness;
		return OptionalLong.of(CALM_DELAY_NANOS + (late ? (long) (this.random.nextDouble() * MAX_DELAY_NANOS) : 0));
	}

	private boolean isCut(InstanceId from, InstanceId to) {
		return this.cuts.contains(new Link(from, to)) || this.deafened.filter(to::equals).isPresent();
	}

	@Override
	public boolean duplicates() {
		return this.random.nextDouble() < this.duplication;
	}

	private record Link(InstanceId from, InstanceId to) {

	}

}
