package org.comfreywall.bench.mapswitch;

/**
 * Delivers messages as its policy says and counts those sent.
 */
final class Link {

	/** Stands for the ledger in place of a rank. */
	static final int LEDGER = -1;

	private final EventQueue queue;

	private LinkPolicy policy;

	private long sent;

	Link(EventQueue queue, LinkPolicy policy) {
		this.queue = queue;
		this.policy = policy;
	}

	void usePolicy(LinkPolicy newPolicy) {
		this.policy = newPolicy;
	}

	long sent() {
		return this.sent;
	}

	void send(int rank, Object message, Runnable delivery) {
		this.sent++;
		for (long delay : this.policy.delays(rank, message)) {
			this.queue.after(delay, delivery);
		}
	}

}
