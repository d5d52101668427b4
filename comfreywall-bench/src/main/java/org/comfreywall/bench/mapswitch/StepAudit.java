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
 * Checks from outside the cores that all ranks ran each step under one map and that no
 * decision changed.
 */
final class StepAudit {

	/** Steps remembered behind the latest one. */
	private static final int WINDOW = 4096;

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

	void violation(String text) {
		if (this.violations.size() < 100) {
			this.violations.add(text);
		}
	}

	/**
	 * Records that a rank ran a step.
	 * @param rank the rank
	 * @param step the step
	 * @param weights the map whose weights the engine really used
	 */
	void executed(int rank, long step, Optional<MapRef> weights) {
		this.checkedExecutions++;
		if (weights.isEmpty()) {
			violation("rank " + rank + " ran step " + step + " without weights");
			return;
		}
		Map<Integer, MapRef> ranks = this.executions.computeIfAbsent(step, (key) -> new HashMap<>());
		ranks.put(rank, weights.get());
		ranks.forEach((other, map) -> {
			if (!map.equals(weights.get())) {
				violation("step " + step + " ran under " + weights.get() + " on rank " + rank + " and under " + map
						+ " on rank " + other);
			}
		});
		checkAgainstDecisions(step, weights.get());
		this.executions.headMap(step - WINDOW).clear();
	}

	/**
	 * Forgets what a replaced rank ran in steps that the group has not completed.
	 * @param rank the rank
	 * @param completed the last step that all ranks completed
	 */
	void replaced(int rank, long completed) {
		this.executions.tailMap(completed, false).values().forEach((ranks) -> ranks.remove(rank));
	}

	/**
	 * Records what a coordinator told a rank.
	 * @param order the order sent
	 */
	void told(AgentOrder order) {
		if (order instanceof ReleaseSwitch release) {
			decided(release.decision());
		}
		else if (order instanceof Welcome welcome) {
			welcome.timeline().boundaries().forEach((boundary) -> decided(new CommitDecision(boundary)));
		}
	}

	private void decided(SwitchDecision decision) {
		SwitchDecision first = this.decisions.putIfAbsent(decision.id(), decision);
		if (first != null && !first.equals(decision)) {
			violation("decision changed from " + first + " to " + decision);
		}
		if (first == null && decision instanceof CommitDecision commit) {
			committed(commit.boundary());
		}
	}

	private void committed(MapBoundary boundary) {
		this.boundaries.put(boundary.firstStep(), boundary.map());
		this.executions.tailMap(boundary.firstStep(), true)
			.forEach((step, ranks) -> ranks.values().forEach((map) -> checkAgainstDecisions(step, map)));
	}

	private void checkAgainstDecisions(long step, MapRef used) {
		Map.Entry<Long, MapRef> decided = this.boundaries.floorEntry(step);
		if (decided != null && !decided.getValue().equals(used)) {
			violation("step " + step + " ran under " + used + " though " + decided.getValue() + " holds from step "
					+ decided.getKey());
		}
	}

}
