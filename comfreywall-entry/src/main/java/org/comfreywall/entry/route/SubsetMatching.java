package org.comfreywall.entry.route;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.InstanceId;

/**
 * Matches entries with servers by deferred acceptance (the Gale-Shapley algorithm).
 * <p>
 * Each entry proposes to servers in its own pseudo-random order, the successors of its
 * hashes on a hash ring of the servers. A server accepts entries up to a quota near the
 * mean and prefers those with the smallest hash of the pair. The result does not depend
 * on the order in which the entries propose, so the addition or removal of one instance
 * changes only the matches that it displaces.
 */
final class SubsetMatching {

	/** Ratio of the sum of all quotas to the number of subset places to fill. */
	private static final double QUOTA_FACTOR = 1.02;

	private static final int MAX_PROPOSALS_PER_PLACE = 64;

	private final List<InstanceId> entries;

	private final List<BackendServerId> servers;

	private final ServerRing ring;

	private final long[] entrySeeds;

	private final long[] serverSeeds;

	private final int[] missing;

	private final int[] proposals;

	private final int[][] accepted;

	private final int[] acceptedCount;

	private final int maxProposals;

	SubsetMatching(List<InstanceId> entries, List<BackendServerId> servers, int size) {
		this.entries = entries;
		this.servers = servers;
		this.entrySeeds = entries.stream().mapToLong((entry) -> Hashes.of(entry.value())).toArray();
		this.serverSeeds = servers.stream().mapToLong((server) -> Hashes.of(server.value())).toArray();
		this.ring = new ServerRing(this.serverSeeds);
		this.missing = new int[entries.size()];
		this.proposals = new int[entries.size()];
		double mean = (double) size * entries.size() / servers.size();
		this.accepted = new int[servers.size()][];
		int[] quotas = quotas(mean);
		Arrays.setAll(this.accepted, (server) -> new int[quotas[server]]);
		this.acceptedCount = new int[servers.size()];
		this.maxProposals = size * MAX_PROPOSALS_PER_PLACE;
		Arrays.fill(this.missing, size);
	}

	Map<InstanceId, Set<BackendServerId>> match() {
		Deque<Integer> waiting = new ArrayDeque<>();
		for (int entry = 0; entry < this.missing.length; entry++) {
			waiting.add(entry);
		}
		while (!waiting.isEmpty()) {
			propose(waiting.poll(), waiting);
		}
		return result();
	}

	/**
	 * Computes the servers' quotas. Each is rounded up or down by the rank of the
	 * server's hash, so that their sum follows the number of places to fill.
	 * @param mean the mean number of entries for a server
	 * @return the quota of each server
	 */
	private int[] quotas(double mean) {
		long[] sorted = this.serverSeeds.clone();
		Arrays.sort(sorted);
		int[] quotas = new int[sorted.length];
		for (int server = 0; server < quotas.length; server++) {
			double fraction = (Arrays.binarySearch(sorted, this.serverSeeds[server]) + 0.5) / sorted.length;
			quotas[server] = Math.max(1, (int) Math.floor(mean * QUOTA_FACTOR + fraction));
		}
		return quotas;
	}

	private void propose(int entry, Deque<Integer> waiting) {
		while (this.missing[entry] > 0 && this.proposals[entry] < this.maxProposals) {
			long point = Hashes.mix(this.entrySeeds[entry] + this.proposals[entry]);
			this.proposals[entry]++;
			int server = this.ring.successor(point);
			if (!isAccepted(entry, server)) {
				offer(entry, server, waiting);
			}
		}
	}

	private void offer(int entry, int server, Deque<Integer> waiting) {
		int[] members = this.accepted[server];
		if (this.acceptedCount[server] < members.length) {
			members[this.acceptedCount[server]] = entry;
			this.acceptedCount[server]++;
			this.missing[entry]--;
			return;
		}
		int last = indexOfLast(members, server);
		int displaced = members[last];
		if (comesBefore(entry, displaced, server)) {
			members[last] = entry;
			this.missing[entry]--;
			this.missing[displaced]++;
			waiting.add(displaced);
		}
	}

	private int indexOfLast(int[] members, int server) {
		int last = 0;
		for (int i = 1; i < members.length; i++) {
			last = comesBefore(members[last], members[i], server) ? i : last;
		}
		return last;
	}

	private boolean comesBefore(int entry, int other, int server) {
		long rank = Hashes.mix(this.entrySeeds[entry] ^ this.serverSeeds[server]);
		long otherRank = Hashes.mix(this.entrySeeds[other] ^ this.serverSeeds[server]);
		return (rank != otherRank) ? rank < otherRank : entry < other;
	}

	private boolean isAccepted(int entry, int server) {
		for (int i = 0; i < this.acceptedCount[server]; i++) {
			if (this.accepted[server][i] == entry) {
				return true;
			}
		}
		return false;
	}

	private Map<InstanceId, Set<BackendServerId>> result() {
		Map<InstanceId, Set<BackendServerId>> subsets = new HashMap<>();
		this.entries.forEach((entry) -> subsets.put(entry, new HashSet<>()));
		for (int server = 0; server < this.accepted.length; server++) {
			for (int i = 0; i < this.acceptedCount[server]; i++) {
				subsets.get(this.entries.get(this.accepted[server][i])).add(this.servers.get(server));
			}
		}
		return subsets;
	}

}
