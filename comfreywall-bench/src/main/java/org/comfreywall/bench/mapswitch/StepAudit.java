package org.comfreywall.bench.mapswitch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.mapswitch.AgentOrder;
import org.comfreywall.group.mapswitch.CommitDecision;
import org.comfreywall.group.mapswitch.MapBoundary;
import org.comfreywall.group.mapswitch.ReleaseSwitch;
import org.comfreywall.group.mapswitch.SwitchDecision;
import org.comfreywall.group.mapswitch.SwitchId;
import org.comfreywall.group.mapswitch.Welcome;

/**
 * Checks, independently of coordinators and agents, that all ranks run a step under the
 * same map, that this is the committed map, and that no decision changes.
 */
final class StepAudit {

	/** The number of steps before the latest one for which executions are kept. */
	private static final int RETAINED_STEPS = 4096;

	private final Map<SwitchId, SwitchDecision> decisions = new HashMap<>();

	private final TreeMap<Long, MapRef> boundaries = new TreeMap<>();

	private final TreeMap<Long, Map<Integer, MapRef>> executions = new TreeMap<>();

	private final List<String> violations = new ArrayList<>();

	private long checkedExecutions;

	List<String> violations() {
		return this.violations;
	}

	long checkedExecutions() {
		return this.checkedExecutions;
	}

	long commits() {
		return this.decisions.values().stream().filter(CommitDecision.class::isInstance).count();
	}

	long aborts() {
		return this.decisions.size() - commits();
	}

	void addViolation(String text) {
		if (this.violations.size() < 100) {
			this.violations.add(text);
		}
	}

	/**
	 * Records that a rank executed a step and checks the map it used.
	 * @param rank the rank
	 * @param step the step
	 * @param weights the map whose weights the engine used; empty if it had none loaded
	 */
	void recordExecution(int rank, long step, Optional<MapRef> weights) {
		this.checkedExecutions++;
		if (weights.isEmpty()) {
			addViolation("rank " + rank + " ran step " + step + " without loaded weights");
			return;
		}
		Map<Integer, MapRef> ranks = this.executions.computeIfAbsent(step, (key) -> new HashMap<>());
		ranks.put(rank, weights.get());
		ranks.forEach((other, map) -> {
			if (!map.equals(weights.get())) {
				addViolation("step " + step + " ran under map " + weights.get() + " on rank " + rank + " and under map "
						+ map + " on rank " + other);
			}
		});
		checkAgainstDecisions(step, weights.get());
		this.executions.headMap(step - RETAINED_STEPS).clear();
	}

	/**
	 * Discards the executions by a rank whose server was replaced, for all steps that the
	 * group has not completed; the new server executes these steps again.
	 * @param rank the rank
	 * @param completed the last step that all ranks completed
	 */
	void discardExecutions(int rank, long completed) {
		this.executions.tailMap(completed, false).values().forEach((ranks) -> ranks.remove(rank));
	}

	/**
	 * Records the decisions in an order sent to a rank and checks that none differs from
	 * one sent before.
	 * @param order the order
	 */
	void recordOrder(AgentOrder order) {
		if (order instanceof ReleaseSwitch release) {
			recordDecision(release.decision());
		}
		else if (order instanceof Welcome welcome) {
			welcome.timeline().boundaries().forEach((boundary) -> recordDecision(new CommitDecision(boundary)));
		}
	}

	private void recordDecision(SwitchDecision decision) {
		SwitchDecision first = this.decisions.putIfAbsent(decision.id(), decision);
		if (first != null && !first.equals(decision)) {
			addViolation("decision changed from " + first + " to " + decision);
		}
		if (first == null && decision instanceof CommitDecision commit) {
			recordBoundary(commit.boundary());
		}
	}

	private void recordBoundary(MapBoundary boundary) {
		this.boundaries.put(boundary.firstStep(), boundary.map());
		this.executions.tailMap(boundary.firstStep(), true)
			.forEach((step, ranks) -> ranks.values().forEach((map) -> checkAgainstDecisions(step, map)));
	}

	private void checkAgainstDecisions(long step, MapRef used) {
		Map.Entry<Long, MapRef> decided = this.boundaries.floorEntry(step);
		if (decided != null && !decided.getValue().equals(used)) {
			addViolation("step " + step + " ran under map " + used + ", but map " + decided.getValue()
					+ " was committed from step " + decided.getKey());
		}
	}

}
