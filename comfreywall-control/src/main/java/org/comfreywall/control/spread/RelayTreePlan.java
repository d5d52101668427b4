package org.comfreywall.control.spread;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.InstanceId;

/**
 * The planned relay tree, which determines the parent candidates of each node. Its levels
 * are control instances, top relays (which attach to control instances), other relays and
 * leaves.
 * <p>
 * The plan depends on nothing but the active members, so that all nodes with the same
 * members compute the same one. A failure domain has one relay per {@code fanOut} nodes
 * and one top relay per {@code fanOut} relays, each rounded up. The relays are the
 * entries with the lowest hashes of their identifiers, and the top relays are the relays
 * with the lowest ones. Parent candidates are selected by rendezvous hashing, so that a
 * member that joins or leaves changes the parents of few others.
 */
final class RelayTreePlan {

	private static final int PREFERRED_CANDIDATES = 3;

	private static final int FALLBACK_TOP_RELAYS = 2;

	private final int fanOut;

	private final List<NodeDescriptor> controls;

	private final Map<FailureDomainId, Integer> nodeCounts = new HashMap<>();

	private final Map<FailureDomainId, List<NodeDescriptor>> relays = new HashMap<>();

	private final Map<FailureDomainId, String> regions = new HashMap<>();

	private final Map<FailureDomainId, Integer> assignedNodes = new HashMap<>();

	private final List<NodeDescriptor> topRelays = new ArrayList<>();

	private final List<NodeDescriptor> allRelays = new ArrayList<>();

	private RelayTreePlan(List<NodeDescriptor> controls, int fanOut) {
		this.controls = controls;
		this.fanOut = fanOut;
	}

	static RelayTreePlan of(List<NodeDescriptor> active, List<NodeDescriptor> controls, int fanOut) {
		RelayTreePlan tree = new RelayTreePlan(controls, fanOut);
		active.forEach(tree::addNode);
		tree.regions.keySet().stream().sorted().forEach(tree::assignToOtherDomains);
		tree.relays.forEach(tree::selectRelays);
		return tree;
	}

	ParentCandidates candidatesFor(NodeDescriptor node) {
		List<NodeDescriptor> chosen = new ArrayList<>();
		int rank = relayRank(node);
		List<NodeDescriptor> domain = this.relays.getOrDefault(node.domain(), List.of());
		if (node.role() == NodeRole.ENTRY && rank < topRelayCount(node.domain(), 1)) {
			addByRendezvousHash(chosen, node, this.controls, PREFERRED_CANDIDATES);
			return new ParentCandidates(chosen, chosen.size(), false);
		}
		boolean relay = node.role() == NodeRole.ENTRY && rank < relayCount(node.domain(), 1);
		int candidates = Math.min(domain.size(), relay ? topRelayCount(node.domain(), 0) : domain.size());
		addByRendezvousHash(chosen, node, domain.subList(0, candidates), PREFERRED_CANDIDATES);
		if (chosen.isEmpty()) {
			addByRendezvousHash(chosen, node, this.allRelays, PREFERRED_CANDIDATES);
		}
		int preferred = chosen.size();
		addByRendezvousHash(chosen, node, this.topRelays, FALLBACK_TOP_RELAYS);
		addByRendezvousHash(chosen, node, this.controls, 1);
		preferred = (preferred > 0) ? preferred : chosen.size();
		return new ParentCandidates(chosen, preferred, false);
	}

	private void addNode(NodeDescriptor node) {
		if (node.role() == NodeRole.CONTROL) {
			return;
		}
		this.nodeCounts.merge(node.domain(), 1, Integer::sum);
		this.regions.putIfAbsent(node.domain(), node.region());
		if (node.role() == NodeRole.ENTRY) {
			this.relays.computeIfAbsent(node.domain(), (domain) -> new ArrayList<>()).add(node);
		}
	}

	/**
	 * Distributes the nodes of a failure domain without entries over the failure domains
	 * with entries, so that these get enough relays for them. Failure domains of the same
	 * region are used if there are any.
	 * @param domain the failure domain
	 */
	private void assignToOtherDomains(FailureDomainId domain) {
		if (this.relays.containsKey(domain) || this.relays.isEmpty()) {
			return;
		}
		String region = this.regions.get(domain);
		List<FailureDomainId> sameRegion = this.relays.keySet()
			.stream()
			.filter((host) -> this.regions.get(host).equals(region))
			.toList();
		Collection<FailureDomainId> hosts = sameRegion.isEmpty() ? this.relays.keySet() : sameRegion;
		int share = ceilDiv(this.nodeCounts.get(domain), hosts.size());
		hosts.forEach((host) -> this.assignedNodes.merge(host, share, Integer::sum));
	}

	private void selectRelays(FailureDomainId domain, List<NodeDescriptor> entries) {
		entries
			.sort(Comparator.comparingLong((NodeDescriptor node) -> hash(node.id())).thenComparing(NodeDescriptor::id));
		int count = Math.min(entries.size(), relayCount(domain, 0));
		entries.subList(count, entries.size()).clear();
		List<NodeDescriptor> top = entries.subList(0, Math.min(count, topRelayCount(domain, 0)));
		this.topRelays.addAll(top);
		this.allRelays.addAll(entries);
	}

	private int relayCount(FailureDomainId domain, int addedNodes) {
		int nodes = this.nodeCounts.getOrDefault(domain, 0) + this.assignedNodes.getOrDefault(domain, 0);
		return ceilDiv(nodes + addedNodes, this.fanOut);
	}

	private int topRelayCount(FailureDomainId domain, int addedNodes) {
		return ceilDiv(relayCount(domain, addedNodes), this.fanOut);
	}

	private int relayRank(NodeDescriptor node) {
		long hash = hash(node.id());
		int rank = 0;
		for (NodeDescriptor relay : this.relays.getOrDefault(node.domain(), List.of())) {
			rank += (!relay.id().equals(node.id()) && hash(relay.id()) < hash) ? 1 : 0;
		}
		return rank;
	}

	private void addByRendezvousHash(List<NodeDescriptor> chosen, NodeDescriptor node, List<NodeDescriptor> from,
			int limit) {
		long own = hash(node.id());
		List<RankedCandidate> ranked = new ArrayList<>(from.size());
		for (NodeDescriptor candidate : from) {
			if (!candidate.id().equals(node.id()) && !contains(chosen, candidate.id())) {
				ranked.add(new RankedCandidate(candidate, !candidate.region().equals(node.region()),
						mix(own * 31 + hash(candidate.id()))));
			}
		}
		ranked.sort(Comparator.comparing(RankedCandidate::otherRegion).thenComparingLong(RankedCandidate::rank));
		ranked.stream().limit(limit).map(RankedCandidate::node).forEach(chosen::add);
	}

	private static boolean contains(List<NodeDescriptor> nodes, InstanceId id) {
		return nodes.stream().anyMatch((node) -> node.id().equals(id));
	}

	private static int ceilDiv(int dividend, int divisor) {
		return (dividend + divisor - 1) / divisor;
	}

	private static long hash(InstanceId id) {
		long hash = 0;
		for (byte b : id.value().getBytes(StandardCharsets.UTF_8)) {
			hash = hash * 0x100000001b3L + b;
		}
		return mix(hash);
	}

	private static long mix(long value) {
		long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
		mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
		return mixed ^ (mixed >>> 31);
	}

	/**
	 * A candidate for a node's parent with its order of preference.
	 *
	 * @param node the candidate
	 * @param otherRegion whether the candidate is in another region than the node
	 * @param rank the rendezvous hash of node and candidate; the lowest is preferred
	 */
	private record RankedCandidate(NodeDescriptor node, boolean otherRegion, long rank) {

	}

}
