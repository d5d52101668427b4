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
 * A simulated network that drops, delays, reorders and duplicates messages and cuts
 * links, also one direction alone.
 */
final class FaultyNetwork implements Network {

	private static final long BASE_DELAY_NANOS = Duration.ofMillis(1).toNanos();

	private static final long MAX_EXTRA_DELAY_NANOS = Duration.ofMillis(1500).toNanos();

	private static final int MAX_CUTS = 40;

	private final Random random;

	private final Set<Link> cuts = new HashSet<>();

	private Optional<InstanceId> blockedReceiver = Optional.empty();

	private double lossShare;

	private double duplicatedShare;

	private double lateShare;

	FaultyNetwork(long seed) {
		this.random = new Random(seed);
	}

	void heal() {
		this.cuts.clear();
		this.blockedReceiver = Optional.empty();
		this.lossShare = 0;
		this.duplicatedShare = 0;
		this.lateShare = 0;
	}

	void randomiseFaults() {
		this.lossShare = this.random.nextDouble() * this.random.nextDouble() * 0.4;
		this.duplicatedShare = this.random.nextDouble() * 0.1;
		this.lateShare = this.random.nextDouble() * this.random.nextDouble() * 0.5;
	}

	/**
	 * Drops all messages to a node until the network is healed.
	 * @param node the receiver
	 */
	void blockReceiver(InstanceId node) {
		this.blockedReceiver = Optional.of(node);
	}

	void cut(InstanceId from, InstanceId to) {
		if (this.cuts.size() < MAX_CUTS) {
			this.cuts.add(new Link(from, to));
		}
	}

	void isolate(InstanceId node, List<InstanceId> others, boolean inbound, boolean outbound) {
		for (InstanceId other : others) {
			if (inbound) {
				this.cuts.add(new Link(other, node));
			}
			if (outbound) {
				this.cuts.add(new Link(node, other));
			}
		}
	}

	void restoreSomeLinks() {
		List<Link> all = new ArrayList<>(this.cuts);
		all.stream().filter((link) -> this.random.nextInt(3) > 0).forEach(this.cuts::remove);
	}

	boolean connects(InstanceId from, InstanceId to) {
		return !isCut(from, to) && !isCut(to, from);
	}

	@Override
	public OptionalLong delay(NodeDescriptor from, NodeDescriptor to) {
		if (isCut(from.id(), to.id()) || this.random.nextDouble() < this.lossShare) {
			return OptionalLong.empty();
		}
		boolean late = this.random.nextDouble() < this.lateShare;
		return OptionalLong
			.of(BASE_DELAY_NANOS + (late ? (long) (this.random.nextDouble() * MAX_EXTRA_DELAY_NANOS) : 0));
	}

	private boolean isCut(InstanceId from, InstanceId to) {
		return this.cuts.contains(new Link(from, to)) || this.blockedReceiver.filter(to::equals).isPresent();
	}

	@Override
	public boolean duplicates() {
		return this.random.nextDouble() < this.duplicatedShare;
	}

	private record Link(InstanceId from, InstanceId to) {

	}

}
