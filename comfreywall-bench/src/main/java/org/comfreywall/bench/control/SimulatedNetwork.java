package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.control.log.LogCodec;
import org.comfreywall.control.log.PeerMessage;

/**
 * A simulated network that delays, reorders, duplicates and drops messages and cuts
 * links.
 */
final class SimulatedNetwork {

	private static final long MAX_USUAL_DELAY_NANOS = Duration.ofMillis(6).toNanos();

	private static final long MAX_LONG_DELAY_NANOS = Duration.ofMillis(800).toNanos();

	private static final double LONG_DELAY_SHARE = 0.01;

	private static final double DUPLICATED_SHARE = 0.02;

	private final EventQueue schedule;

	private final Random random;

	private final Consumer<PeerMessage> receiver;

	private final Set<Link> cutLinks = new HashSet<>();

	private double lossShare;

	SimulatedNetwork(EventQueue schedule, Random random, Consumer<PeerMessage> receiver) {
		this.schedule = schedule;
		this.random = random;
		this.receiver = receiver;
	}

	void send(PeerMessage message) {
		PeerMessage decoded = LogCodec.decodeMessage(LogCodec.encodeMessage(message)).value().orElseThrow();
		if (this.random.nextDouble() >= this.lossShare) {
			deliverLater(decoded);
		}
		if (this.random.nextDouble() < DUPLICATED_SHARE) {
			deliverLater(decoded);
		}
	}

	private void deliverLater(PeerMessage message) {
		boolean late = this.random.nextDouble() < LONG_DELAY_SHARE;
		long delay = this.random.nextLong(late ? MAX_LONG_DELAY_NANOS : MAX_USUAL_DELAY_NANOS);
		this.schedule.after(delay, () -> deliver(message));
	}

	private void deliver(PeerMessage message) {
		if (!this.cutLinks.contains(new Link(message.from(), message.to()))) {
			this.receiver.accept(message);
		}
	}

	void lossShare(double share) {
		this.lossShare = share;
	}

	void cut(InstanceId from, InstanceId to) {
		this.cutLinks.add(new Link(from, to));
	}

	void heal() {
		this.cutLinks.clear();
		this.lossShare = 0;
	}

	/** One direction of the connection between two instances. */
	private record Link(InstanceId from, InstanceId to) {

	}

}
