package org.comfreywall.control.spread;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.id.Incarnation;

/**
 * Executes the leader's probe requests by pinging suspected nodes, and responds to pings.
 */
final class Prober {

	private static final int MAX_PROBES = 256;

	private static final int MAX_PINGS = 3;

	private static final long PING_INTERVAL_NANOS = Duration.ofMillis(400).toNanos();

	private final Map<Long, Probe> probes = new HashMap<>();

	private final NodeDescriptor self;

	private final Outbox outbox;

	Prober(NodeDescriptor self, Outbox outbox) {
		this.self = self;
		this.outbox = outbox;
	}

	/**
	 * Handles a ping, a pong, a probe request or a probe result.
	 * @param from the sender
	 * @param message the message
	 * @param now the current monotonic time in nanoseconds
	 */
	void onMessage(Peer from, RelayTreeMessage message, long now) {
		if (message instanceof Ping ping) {
			this.outbox.send(from, new Pong(ping.nonce(), this.self.incarnation()));
		}
		else if (message instanceof Pong pong) {
			onPong(pong);
		}
		else if (message instanceof ProbeRequest request) {
			startProbe(from, request, now);
		}
		else if (message instanceof ProbeResult result) {
			this.outbox.add(new RelayTreeCommand.HandleProbeResult(from, result));
		}
	}

	private void startProbe(Peer requester, ProbeRequest request, long now) {
		if (this.probes.size() >= MAX_PROBES || this.probes.containsKey(request.nonce())) {
			return;
		}
		Probe probe = new Probe(requester, request);
		this.probes.put(request.nonce(), probe);
		ping(probe, now);
	}

	void tick(long now) {
		if (this.probes.isEmpty()) {
			return;
		}
		for (Probe probe : List.copyOf(this.probes.values())) {
			if (now - probe.pingedAt >= PING_INTERVAL_NANOS) {
				pingAgainOrFail(probe, now);
			}
		}
	}

	private void pingAgainOrFail(Probe probe, long now) {
		if (probe.pings < MAX_PINGS) {
			ping(probe, now);
			return;
		}
		this.probes.remove(probe.request.nonce());
		complete(probe, probe.request.target().incarnation(), false);
	}

	private void onPong(Pong pong) {
		Probe probe = this.probes.remove(pong.nonce());
		if (probe != null) {
			complete(probe, pong.incarnation(), true);
		}
	}

	private void complete(Probe probe, Incarnation incarnation, boolean reachable) {
		ProbeResult result = new ProbeResult(probe.request.nonce(), probe.request.target().id(), incarnation,
				reachable);
		if (probe.requester.id().equals(this.self.id())) {
			this.outbox.add(new RelayTreeCommand.HandleProbeResult(probe.requester, result));
		}
		else {
			this.outbox.send(probe.requester, result);
		}
	}

	private void ping(Probe probe, long now) {
		probe.pings++;
		probe.pingedAt = now;
		this.outbox.send(Peer.of(probe.request.target()), new Ping(probe.request.nonce()));
	}

	private static final class Probe {

		private final Peer requester;

		private final ProbeRequest request;

		private int pings;

		private long pingedAt;

		Probe(Peer requester, ProbeRequest request) {
			this.requester = requester;
			this.request = request;
		}

	}

}
