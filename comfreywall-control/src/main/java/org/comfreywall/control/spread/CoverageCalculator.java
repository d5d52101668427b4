package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.comfreywall.common.id.InstanceId;

/**
 * Calculates the coverage of a configuration revision in a node's subtree.
 */
final class CoverageCalculator {

	private final long revision;

	private final List<LaggingNode> laggingNodes = new ArrayList<>();

	private int nodeCount;

	private int laggingCount;

	private CoverageCalculator(long revision) {
		this.revision = revision;
	}

	/**
	 * Aggregates a node's own state with the coverage reported by its children. If a
	 * child's coverage is about an older revision, the child and all its descendants
	 * count as lagging behind.
	 * @param revision the revision
	 * @param self the node
	 * @param revisionInForce the revision in force at the node
	 * @param children the node's children
	 * @return the coverage of the revision in the node's subtree
	 */
	static RevisionCoverage calculate(long revision, InstanceId self, long revisionInForce,
			Collection<Child> children) {
		CoverageCalculator calculator = new CoverageCalculator(revision);
		calculator.addNode(self, revisionInForce);
		children.forEach(calculator::addSubtree);
		return new RevisionCoverage(calculator.nodeCount, revision, calculator.laggingCount, calculator.laggingNodes);
	}

	private void addSubtree(Child child) {
		RevisionCoverage coverage = child.coverage();
		if (coverage.revision() < this.revision) {
			addNode(child.node().id(), coverage.revision());
			child.descendants().keySet().forEach((id) -> addNode(id, coverage.revision()));
			return;
		}
		this.nodeCount += coverage.nodeCount();
		this.laggingCount += coverage.laggingCount() - coverage.laggingNodes().size();
		coverage.laggingNodes().forEach(this::addIfLagging);
	}

	private void addNode(InstanceId id, long revisionInForce) {
		this.nodeCount++;
		addIfLagging(new LaggingNode(id, revisionInForce));
	}

	private void addIfLagging(LaggingNode node) {
		if (node.revision() >= this.revision) {
			return;
		}
		this.laggingCount++;
		if (this.laggingNodes.size() < RevisionCoverage.MAX_LISTED) {
			this.laggingNodes.add(node);
		}
	}

}
