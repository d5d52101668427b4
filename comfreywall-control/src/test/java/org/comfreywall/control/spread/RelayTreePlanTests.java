package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.comfreywall.common.id.InstanceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RelayTreePlan}.
 */
class RelayTreePlanTests {

	private static final int FAN_OUT = 16;

	private static List<NodeDescriptor> nodes(int size) {
		List<NodeDescriptor> nodes = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			nodes.add(Nodes.node("node-" + i, ((i / 4) % 5 == 0) ? NodeRole.ENTRY : NodeRole.SIDECAR, "d" + i % 4));
		}
		return nodes;
	}

	private static RelayTreePlan tree(List<NodeDescriptor> nodes) {
		return RelayTreePlan.of(nodes, List.of(Nodes.CONTROL), FAN_OUT);
	}

	@Test
	void isIndependentOfTheOrderOfMembers() {
		List<NodeDescriptor> nodes = nodes(800);
		List<NodeDescriptor> shuffled = new ArrayList<>(nodes);
		Collections.shuffle(shuffled, new Random(3));
		RelayTreePlan one = tree(nodes);
		RelayTreePlan other = tree(shuffled);
		assertThat(nodes).allMatch((node) -> one.candidatesFor(node).equals(other.candidatesFor(node)));
	}

	@Test
	void assignsNoMoreThanTheMaximumNumberOfChildren() {
		RelayTreePlan tree = tree(nodes(1_100));
		Map<InstanceId, Integer> children = new HashMap<>();
		nodes(1_100).forEach((node) -> children.merge(tree.candidatesFor(node).nodes().get(0).id(), 1, Integer::sum));
		assertThat(children.values()).allMatch((count) -> count <= RelayTreeSettings.DEFAULTS.maxChildren());
	}

	@Test
	void connectsEveryNodeToAControlInstance() {
		List<NodeDescriptor> nodes = nodes(1_100);
		RelayTreePlan tree = tree(nodes);
		assertThat(nodes).allMatch((node) -> depth(tree, node) <= 3);
	}

	@Test
	void prefersCandidatesOfTheSameFailureDomain() {
		RelayTreePlan tree = tree(nodes(800));
		NodeDescriptor sidecar = nodes(800).get(799);
		ParentCandidates parents = tree.candidatesFor(sidecar);
		assertThat(parents.nodes().subList(0, parents.preferredCount()))
			.allMatch((parent) -> parent.domain().equals(sidecar.domain()));
	}

	@Test
	void changesTheParentsOfFewNodesWhenOneLeaves() {
		List<NodeDescriptor> nodes = nodes(1_100);
		RelayTreePlan before = tree(nodes);
		RelayTreePlan after = tree(nodes.subList(0, 1_099));
		long moved = nodes.stream()
			.filter((node) -> !before.candidatesFor(node)
				.nodes()
				.get(0)
				.equals(after.candidatesFor(node).nodes().get(0)))
			.count();
		assertThat(moved).isLessThanOrEqualTo(3 * FAN_OUT);
	}

	@Test
	void assignsRelaysOfOtherDomainsToADomainWithoutEntries() {
		NodeDescriptor sidecar = Nodes.node("sidecar-lonely", NodeRole.SIDECAR, "d9");
		assertThat(tree(nodes(100)).candidatesFor(sidecar).nodes().get(0).role()).isEqualTo(NodeRole.ENTRY);
	}

	private static int depth(RelayTreePlan tree, NodeDescriptor node) {
		int depth = 0;
		NodeDescriptor current = node;
		while (current.role() != NodeRole.CONTROL && depth < 10) {
			current = tree.candidatesFor(current).nodes().get(0);
			depth++;
		}
		return depth;
	}

}
