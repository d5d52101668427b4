package org.comfreywall.gateway.fleet;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Counts the acknowledgements of an update, which is complete when all live processes
 * have replied or failed, and successful if enough processes with a disk acknowledged it.
 */
final class UpdateAcknowledgements {

	private final Set<String> outstanding = new HashSet<>();

	private final int durableQuorum;

	private final CompletableFuture<Boolean> result = new CompletableFuture<>();

	private int durable;

	/**
	 * Creates a count for one update.
	 * @param processes the processes that apply the update, including this one
	 * @param voters the target number of voters; a majority of this number of processes
	 * with a disk must acknowledge the update
	 */
	UpdateAcknowledgements(List<FleetPeer> processes, int voters) {
		processes.forEach((peer) -> this.outstanding.add(peer.instance()));
		this.durableQuorum = voters / 2 + 1;
	}

	void recordReply(FleetPeer peer, boolean confirmed) {
		if (this.outstanding.remove(peer.instance()) && confirmed && peer.isDurable()) {
			this.durable++;
		}
		completeIfAllReplied();
	}

	CompletableFuture<Boolean> result() {
		return this.result;
	}

	// Waits for all live processes, as any of them may send requests based on the state
	// before the update.
	private void completeIfAllReplied() {
		if (this.outstanding.isEmpty()) {
			this.result.complete(this.durable >= this.durableQuorum);
		}
	}

}
