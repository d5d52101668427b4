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

	private final ServerHashRing ring;

	private final long[] entrySeeds;

	private final long[] serverSeeds;

	private final int[] unfilledPlaces;

	private final int[] proposalCounts;

	private final int[][] acceptedEntries;

	private final int[] acceptedCounts;

	private final int maxProposals;

	SubsetMatching(List<InstanceId> entries, List<BackendServerId> servers, int size) {
		this.entries = entries;
		this.servers = servers;
		this.entrySeeds = entries.stream().mapToLong((entry) -> Hashes.hash(entry.value())).toArray();
		this.serverSeeds = servers.stream().mapToLong((server) -> Hashes.hash(server.value())).toArray();
		this.ring = new ServerHashRing(this.serverSeeds);
		this.unfilledPlaces = new int[entries.size()];
		this.proposalCounts = new int[entries.size()];
		double mean = (double) size * entries.size() / servers.size();
		this.acceptedEntries = new int[servers.size()][];
		int[] quotas = quotas(mean);
		Arrays.setAll(this.acceptedEntries, (server) -> new int[quotas[server]]);
		this.acceptedCounts = new int[servers.size()];
		this.maxProposals = size * MAX_PROPOSALS_PER_PLACE;
		Arrays.fill(this.unfilledPlaces, size);
	}

	Map<InstanceId, Set<BackendServerId>> match() {
		Deque<Integer> waiting = new ArrayDeque<>();
		for (int entry = 0; entry < this.unfilledPlaces.length; entry++) {
			waiting.add(entry);
		}
		while (!waiting.isEmpty()) {
			fillPlaces(waiting.poll(), waiting);
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

	private void fillPlaces(int entry, Deque<Integer> waiting) {
		while (this.unfilledPlaces[entry] > 0 && this.proposalCounts[entry] < this.maxProposals) {
			long point = Hashes.mix(this.entrySeeds[entry] + this.proposalCounts[entry]);
			this.proposalCounts[entry]++;
			int server = this.ring.successor(point);
			if (!isAccepted(entry, server)) {
				proposeTo(entry, server, waiting);
			}
		}
	}

	private void proposeTo(int entry, int server, Deque<Integer> waiting) {
		int[] members = this.acceptedEntries[server];
		if (this.acceptedCounts[server] < members.length) {
			members[this.acceptedCounts[server]] = entry;
			this.acceptedCounts[server]++;
			this.unfilledPlaces[entry]--;
			return;
		}
		int last = indexOfLeastPreferred(members, server);
		int displaced = members[last];
		if (isPreferred(entry, displaced, server)) {
			members[last] = entry;
			this.unfilledPlaces[entry]--;
			this.unfilledPlaces[displaced]++;
			waiting.add(displaced);
		}
	}

	private int indexOfLeastPreferred(int[] members, int server) {
		int last = 0;
		for (int i = 1; i < members.length; i++) {
			last = isPreferred(members[last], members[i], server) ? i : last;
		}
		return last;
	}

	private boolean isPreferred(int entry, int other, int server) {
		long rank = Hashes.mix(this.entrySeeds[entry] ^ this.serverSeeds[server]);
		long otherRank = Hashes.mix(this.entrySeeds[other] ^ this.serverSeeds[server]);
		return (rank != otherRank) ? rank < otherRank : entry < other;
	}

	private boolean isAccepted(int entry, int server) {
		for (int i = 0; i < this.acceptedCounts[server]; i++) {
			if (this.acceptedEntries[server][i] == entry) {
				return true;
			}
		}
		return false;
	}

	private Map<InstanceId, Set<BackendServerId>> result() {
		Map<InstanceId, Set<BackendServerId>> subsets = new HashMap<>();
		this.entries.forEach((entry) -> subsets.put(entry, new HashSet<>()));
		for (int server = 0; server < this.acceptedEntries.length; server++) {
			for (int i = 0; i < this.acceptedCounts[server]; i++) {
				subsets.get(this.entries.get(this.acceptedEntries[server][i])).add(this.servers.get(server));
			}
		}
		return subsets;
	}

}
