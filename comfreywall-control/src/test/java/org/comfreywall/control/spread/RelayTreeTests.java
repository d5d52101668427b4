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
 * Tests for {@link RelayTree}.
 */
class RelayTreeTests {

	private static final int FAN_OUT = 16;

	private static List<NodeDescriptor> nodes(int size) {
		List<NodeDescriptor> nodes = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			nodes.add(Nodes.node("node-" + i, ((i / 4) % 5 == 0) ? NodeRole.ENTRY : NodeRole.SIDECAR, "d" + i % 4));
		}
		return nodes;
	}

	private static RelayTree tree(List<NodeDescriptor> nodes) {
		return RelayTree.of(nodes, List.of(Nodes.CONTROL), FAN_OUT);
	}

	@Test
	void isIndependentOfTheOrderOfMembers() {
		List<NodeDescriptor> nodes = nodes(800);
		List<NodeDescriptor> shuffled = new ArrayList<>(nodes);
		Collections.shuffle(shuffled, new Random(3));
		RelayTree one = tree(nodes);
		RelayTree other = tree(shuffled);
		assertThat(nodes).allMatch((node) -> one.parentsOf(node).equals(other.parentsOf(node)));
	}

	@Test
	void assignsNoMoreThanTheMaximumNumberOfChildren() {
		RelayTree tree = tree(nodes(1_100));
		Map<InstanceId, Integer> children = new HashMap<>();
		nodes(1_100).forEach((node) -> children.merge(tree.parentsOf(node).parents().get(0).id(), 1, Integer::sum));
		assertThat(children.values()).allMatch((count) -> count <= SpreadSettings.DEFAULTS.maxChildren());
	}

	@Test
	void connectsEveryNodeToAControlInstance() {
		List<NodeDescriptor> nodes = nodes(1_100);
		RelayTree tree = tree(nodes);
		assertThat(nodes).allMatch((node) -> depth(tree, node) <= 3);
	}

	@Test
	void prefersCandidatesOfTheSameFailureDomain() {
		RelayTree tree = tree(nodes(800));
		NodeDescriptor sidecar = nodes(800).get(799);
		ParentList parents = tree.parentsOf(sidecar);
		assertThat(parents.parents().subList(0, parents.preferred()))
			.allMatch((parent) -> parent.domain().equals(sidecar.domain()));
	}

	@Test
	void changesTheParentsOfFewNodesWhenOneLeaves() {
		List<NodeDescriptor> nodes = nodes(1_100);
		RelayTree before = tree(nodes);
		RelayTree after = tree(nodes.subList(0, 1_099));
		long moved = nodes.stream()
			.filter((node) -> !before.parentsOf(node).parents().get(0).equals(after.parentsOf(node).parents().get(0)))
			.count();
		assertThat(moved).isLessThanOrEqualTo(3 * FAN_OUT);
	}

	@Test
	void assignsRelaysOfOtherDomainsToADomainWithoutEntries() {
		NodeDescriptor sidecar = Nodes.node("sidecar-lonely", NodeRole.SIDECAR, "d9");
		assertThat(tree(nodes(100)).parentsOf(sidecar).parents().get(0).role()).isEqualTo(NodeRole.ENTRY);
	}

	private static int depth(RelayTree tree, NodeDescriptor node) {
		int depth = 0;
		NodeDescriptor current = node;
		while (current.role() != NodeRole.CONTROL && depth < 10) {
			current = tree.parentsOf(current).parents().get(0);
			depth++;
		}
		return depth;
	}

}
