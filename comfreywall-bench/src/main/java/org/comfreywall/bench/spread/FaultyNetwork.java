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
 * A simulated network that drops, delays, reorders and duplicates messages and in which
 * links can be cut in either direction.
 */
final class FaultyNetwork implements Network {

	private static final long BASE_DELAY_NANOS = Duration.ofMillis(1).toNanos();

	private static final long MAX_EXTRA_DELAY_NANOS = Duration.ofMillis(1500).toNanos();

	/**
	 * The number of cut links from which on {@link #cut} adds no more. {@link #isolate}
	 * is not limited.
	 */
	private static final int MAX_CUTS = 40;

	private final Random random;

	private final Set<DirectedLink> cutLinks = new HashSet<>();

	private Optional<InstanceId> blockedReceiver = Optional.empty();

	/** The share of messages that are lost. */
	private double lossShare;

	/** The share of messages that are duplicated. */
	private double duplicatedShare;

	/** The share of messages that get an extra delay. */
	private double delayedShare;

	FaultyNetwork(long seed) {
		this.random = new Random(seed);
	}

	/**
	 * Clears all faults: restores all links, unblocks the blocked receiver and sets the
	 * shares of lost, duplicated and delayed messages to 0.
	 */
	void heal() {
		this.cutLinks.clear();
		this.blockedReceiver = Optional.empty();
		this.lossShare = 0;
		this.duplicatedShare = 0;
		this.delayedShare = 0;
	}

	/**
	 * Draws new shares of lost, duplicated and delayed messages. Cut links and the
	 * blocked receiver stay as they are.
	 */
	void randomiseFaults() {
		// A product of two random numbers makes low shares more frequent than high ones.
		this.lossShare = this.random.nextDouble() * this.random.nextDouble() * 0.4;
		this.duplicatedShare = this.random.nextDouble() * 0.1;
		this.delayedShare = this.random.nextDouble() * this.random.nextDouble() * 0.5;
	}

	/**
	 * Drops all messages to a node, in place of the node blocked before, until
	 * {@link #heal()} clears all faults.
	 * @param node the receiver
	 */
	void blockReceiver(InstanceId node) {
		this.blockedReceiver = Optional.of(node);
	}

	/**
	 * Cuts the link between two nodes in the given direction. Has no effect once
	 * {@value #MAX_CUTS} links are cut.
	 * @param from the sender
	 * @param to the receiver
	 */
	void cut(InstanceId from, InstanceId to) {
		if (this.cutLinks.size() < MAX_CUTS) {
			this.cutLinks.add(new DirectedLink(from, to));
		}
	}

	/**
	 * Cuts the links between a node and others.
	 * @param node the node
	 * @param others the other nodes
	 * @param inbound whether to cut the links to the node
	 * @param outbound whether to cut the links from the node
	 */
	void isolate(InstanceId node, List<InstanceId> others, boolean inbound, boolean outbound) {
		for (InstanceId other : others) {
			if (inbound) {
				this.cutLinks.add(new DirectedLink(other, node));
			}
			if (outbound) {
				this.cutLinks.add(new DirectedLink(node, other));
			}
		}
	}

	/**
	 * Restores each cut link with a probability of two thirds.
	 */
	void restoreSomeLinks() {
		List<DirectedLink> all = new ArrayList<>(this.cutLinks);
		all.stream().filter((link) -> this.random.nextInt(3) > 0).forEach(this.cutLinks::remove);
	}

	/**
	 * Returns whether neither direction between two nodes is blocked. Random loss is not
	 * considered.
	 * @param one a node
	 * @param other the other node
	 * @return {@code true} if messages can pass both ways
	 */
	boolean connects(InstanceId one, InstanceId other) {
		return !isBlocked(one, other) && !isBlocked(other, one);
	}

	@Override
	public OptionalLong delay(NodeDescriptor from, NodeDescriptor to) {
		if (isBlocked(from.id(), to.id()) || this.random.nextDouble() < this.lossShare) {
			return OptionalLong.empty();
		}
		boolean delayed = this.random.nextDouble() < this.delayedShare;
		return OptionalLong
			.of(BASE_DELAY_NANOS + (delayed ? (long) (this.random.nextDouble() * MAX_EXTRA_DELAY_NANOS) : 0));
	}

	private boolean isBlocked(InstanceId from, InstanceId to) {
		return this.cutLinks.contains(new DirectedLink(from, to))
				|| this.blockedReceiver.filter(to::equals).isPresent();
	}

	@Override
	public boolean duplicates() {
		return this.random.nextDouble() < this.duplicatedShare;
	}

	private record DirectedLink(InstanceId from, InstanceId to) {

	}

}
