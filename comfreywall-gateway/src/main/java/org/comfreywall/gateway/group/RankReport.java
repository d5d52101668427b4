package org.comfreywall.gateway.group;

import java.util.List;
import java.util.OptionalLong;

import org.comfreywall.common.util.Preconditions;

/**
 * The state of one rank's engine at the time when it was read.
 *
 * @param server the backend server that runs the rank
 * @param group the group
 * @param epoch the group's epoch, which increases whenever the group is formed again
 * @param rank the rank's number
 * @param size the number of ranks
 * @param open whether the group runs passes
 * @param step the number of the last pass that the group has begun
 * @param mapVersion the version of the map in force
 * @param preparedVersion the version whose experts the rank has copied completely, or 0
 * @param armedVersion the version that the rank is armed to change to, or 0
 * @param heldStep the number of the pass that the rank holds, or empty if it holds none
 * @param layout the numbers of the experts that the rank holds, by set of layers
 * @param slowdown the rank's slowdown factor against its usual time; 1 if it is healthy
 */
public record RankReport(String server, String group, long epoch, int rank, int size, boolean open, long step,
		long mapVersion, long preparedVersion, long armedVersion, OptionalLong heldStep, List<List<Integer>> layout,
		double slowdown) {

	public RankReport {
		Preconditions.notBlank(server, "server");
		Preconditions.notNull(group, "group");
		Preconditions.notNull(heldStep, "heldStep");
		Preconditions.check(rank >= 0 && rank < size, "rank must be at least 0 and below %d: %d", size, rank);
		Preconditions.check(slowdown > 0, "slowdown must be positive: %s", slowdown);
		layout = layout.stream().map(List::copyOf).toList();
	}

	/**
	 * Returns a copy of this report with another layout.
	 * @param held the numbers of the experts that the rank holds, by set of layers
	 * @return the report
	 */
	public RankReport withLayout(List<List<Integer>> held) {
		return new RankReport(this.server, this.group, this.epoch, this.rank, this.size, this.open, this.step,
				this.mapVersion, this.preparedVersion, this.armedVersion, this.heldStep, held, this.slowdown);
	}

	/**
	 * Returns whether the state differs in more than the number of the pass, so that the
	 * report must be sent to the leader at once.
	 * @param before an earlier report of the same rank
	 * @return {@code true} if the group, the rank's maps, its held pass or its slowdown
	 * changed
	 */
	public boolean differsIgnoringStep(RankReport before) {
		return this.epoch != before.epoch || this.open != before.open || this.mapVersion != before.mapVersion
				|| this.preparedVersion != before.preparedVersion || this.armedVersion != before.armedVersion
				|| !this.heldStep.equals(before.heldStep) || this.slowdown != before.slowdown;
	}

}
