package org.comfreywall.bench.mapswitch;

/**
 * A simulated network link, which delivers messages according to a policy and counts the
 * messages sent.
 */
final class Link {

	/** The peer of a message to or from the ledger, in place of a rank. */
	static final int LEDGER = -1;

	private final EventQueue queue;

	private LinkPolicy policy;

	private long sentCount;

	Link(EventQueue queue, LinkPolicy policy) {
		this.queue = queue;
		this.policy = policy;
	}

	void setPolicy(LinkPolicy newPolicy) {
		this.policy = newPolicy;
	}

	long sentCount() {
		return this.sentCount;
	}

	void send(int rank, Object message, Runnable delivery) {
		this.sentCount++;
		for (long delay : this.policy.deliveryDelays(rank, message)) {
			this.queue.schedule(delay, delivery);
		}
	}

}
