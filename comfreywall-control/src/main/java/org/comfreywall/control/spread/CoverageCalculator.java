package org.comfreywall.control.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.comfreywall.common.id.InstanceId;

/**
 * Aggregates the coverage of a configuration revision over a node's subtree.
 */
final class CoverageCalculator {

	private final long number;

	private final List<Laggard> behind = new ArrayList<>();

	private int nodes;

	private int behindCount;

	private CoverageCalculator(long number) {
		this.number = number;
	}

	/**
	 * Aggregates the coverage of a node and its children. A child that reports on an
	 * older revision counts as behind with all its descendants.
	 * @param number the target revision
	 * @param self the node
	 * @param inForce the revision in force at the node
	 * @param children the node's children
	 * @return the coverage
	 */
	static Coverage calculate(long number, InstanceId self, long inForce, Collection<Child> children) {
		CoverageCalculator calculator = new CoverageCalculator(number);
		calculator.addNode(self, inForce);
		children.forEach(calculator::add);
		return new Coverage(calculator.nodes, number, calculator.behindCount, calculator.behind);
	}

	private void add(Child child) {
		Coverage coverage = child.coverage();
		if (coverage.number() < this.number) {
			addNode(child.node().id(), coverage.number());
			child.descendants().keySet().forEach((id) -> addNode(id, coverage.number()));
			return;
		}
		this.nodes += coverage.nodes();
		this.behindCount += coverage.behindCount() - coverage.behind().size();
		coverage.behind().forEach(this::addLaggard);
	}

	private void addNode(InstanceId id, long revision) {
		this.nodes++;
		addLaggard(new Laggard(id, revision));
	}

	private void addLaggard(Laggard laggard) {
		if (laggard.number() >= this.number) {
			return;
		}
		this.behindCount++;
		if (this.behind.size() < Coverage.MAX_LISTED) {
			this.behind.add(laggard);
		}
	}

}
