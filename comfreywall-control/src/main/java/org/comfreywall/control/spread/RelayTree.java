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
 * Computes the relay tree from the members. Its levels are control instances, heads (the
 * relays of a failure domain that attach to control instances), other relays and leaves.
 * <p>
 * The tree is a pure function of the members. A failure domain has one relay per
 * {@code fanOut} nodes and one head per {@code fanOut} relays. Relays are the entries
 * with the lowest hashes of their identifiers, and heads the relays with the lowest ones.
 * A node's parents are selected by rendezvous hashing, so that a joining or leaving
 * member changes the parents of few others.
 */
final class RelayTree {

	private static final int PREFERRED_PARENTS = 3;

	private static final int FALLBACK_HEADS = 2;

	private final int fanOut;

	private final List<NodeDescriptor> controls;

	private final Map<FailureDomainId, Integer> sizes = new HashMap<>();

	private final Map<FailureDomainId, List<NodeDescriptor>> relays = new HashMap<>();

	private final Map<FailureDomainId, String> regions = new HashMap<>();

	private final Map<FailureDomainId, Integer> assignedNodes = new HashMap<>();

	private final List<NodeDescriptor> allHeads = new ArrayList<>();

	private final List<NodeDescriptor> allRelays = new ArrayList<>();

	private RelayTree(List<NodeDescriptor> controls, int fanOut) {
		this.controls = controls;
		this.fanOut = fanOut;
	}

	static RelayTree of(List<NodeDescriptor> active, List<NodeDescriptor> controls, int fanOut) {
		RelayTree tree = new RelayTree(controls, fanOut);
		active.forEach(tree::addNode);
		tree.regions.keySet().stream().sorted().forEach(tree::assignToOtherDomains);
		tree.relays.forEach(tree::selectRelays);
		return tree;
	}

	ParentList parentsOf(NodeDescriptor node) {
		List<NodeDescriptor> chosen = new ArrayList<>();
		int rank = relayRank(node);
		List<NodeDescriptor> domain = this.relays.getOrDefault(node.domain(), List.of());
		if (node.role() == NodeRole.ENTRY && rank < headCount(node.domain(), 1)) {
			addBestRanked(chosen, node, this.controls, PREFERRED_PARENTS);
			return new ParentList(chosen, chosen.size(), false);
		}
		boolean relay = node.role() == NodeRole.ENTRY && rank < relayCount(node.domain(), 1);
		int candidates = Math.min(domain.size(), relay ? headCount(node.domain(), 0) : domain.size());
		addBestRanked(chosen, node, domain.subList(0, candidates), PREFERRED_PARENTS);
		if (chosen.isEmpty()) {
			addBestRanked(chosen, node, this.allRelays, PREFERRED_PARENTS);
		}
		int preferred = chosen.size();
		addBestRanked(chosen, node, this.allHeads, FALLBACK_HEADS);
		addBestRanked(chosen, node, this.controls, 1);
		preferred = (preferred > 0) ? preferred : chosen.size();
		return new ParentList(chosen, preferred, false);
	}

	private void addNode(NodeDescriptor node) {
		if (node.role() == NodeRole.CONTROL) {
			return;
		}
		this.sizes.merge(node.domain(), 1, Integer::sum);
		this.regions.putIfAbsent(node.domain(), node.region());
		if (node.role() == NodeRole.ENTRY) {
			this.relays.computeIfAbsent(node.domain(), (domain) -> new ArrayList<>()).add(node);
		}
	}

	/**
	 * Distributes the nodes of a failure domain without entries over failure domains with
	 * entries, of the same region if there are any, so that these get enough relays.
	 * @param domain the failure domain
	 */
	private void assignToOtherDomains(FailureDomainId domain) {
		if (this.relays.containsKey(domain) || this.relays.isEmpty()) {
			return;
		}
		String region = this.regions.get(domain);
		List<FailureDomainId> near = this.relays.keySet()
			.stream()
			.filter((host) -> this.regions.get(host).equals(region))
			.toList();
		Collection<FailureDomainId> hosts = near.isEmpty() ? this.relays.keySet() : near;
		int share = ceilDiv(this.sizes.get(domain), hosts.size());
		hosts.forEach((host) -> this.assignedNodes.merge(host, share, Integer::sum));
	}

	private void selectRelays(FailureDomainId domain, List<NodeDescriptor> entries) {
		entries
			.sort(Comparator.comparingLong((NodeDescriptor node) -> hash(node.id())).thenComparing(NodeDescriptor::id));
		int count = Math.min(entries.size(), relayCount(domain, 0));
		entries.subList(count, entries.size()).clear();
		List<NodeDescriptor> heads = entries.subList(0, Math.min(count, headCount(domain, 0)));
		this.allHeads.addAll(heads);
		this.allRelays.addAll(entries);
	}

	private int relayCount(FailureDomainId domain, int added) {
		int nodes = this.sizes.getOrDefault(domain, 0) + this.assignedNodes.getOrDefault(domain, 0);
		return ceilDiv(nodes + added, this.fanOut);
	}

	private int headCount(FailureDomainId domain, int added) {
		return ceilDiv(relayCount(domain, added), this.fanOut);
	}

	private int relayRank(NodeDescriptor node) {
		long hash = hash(node.id());
		int rank = 0;
		for (NodeDescriptor relay : this.relays.getOrDefault(node.domain(), List.of())) {
			rank += (!relay.id().equals(node.id()) && hash(relay.id()) < hash) ? 1 : 0;
		}
		return rank;
	}

	private void addBestRanked(List<NodeDescriptor> chosen, NodeDescriptor node, List<NodeDescriptor> from, int limit) {
		long own = hash(node.id());
		List<RankedCandidate> ranked = new ArrayList<>(from.size());
		for (NodeDescriptor parent : from) {
			if (!parent.id().equals(node.id()) && !contains(chosen, parent.id())) {
				ranked.add(new RankedCandidate(parent, !parent.region().equals(node.region()),
						mix(own * 31 + hash(parent.id()))));
			}
		}
		ranked.sort(Comparator.comparing(RankedCandidate::distant).thenComparingLong(RankedCandidate::rank));
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
	 * A candidate for a node's parent.
	 *
	 * @param node the candidate
	 * @param distant whether it is in another region
	 * @param rank the rendezvous hash of child and candidate; lower is better
	 */
	private record RankedCandidate(NodeDescriptor node, boolean distant, long rank) {

	}

}
