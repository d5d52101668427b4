package org.comfreywall.group.straggler;

import org.comfreywall.common.util.Preconditions;

/**
 * The mean busy time of each rank's steps in one window, excluding the time spent waiting
 * for other ranks.
 *
 * @param busyNanos the busy time of each rank in nanoseconds; 0 if none was reported
 * @param expectedLoad the expected load of each rank according to the expert map and the
 * popularity, in any unit; empty if unknown
 */
public record StepTimes(double[] busyNanos, double[] expectedLoad) {

	public StepTimes {
		Preconditions.notNull(busyNanos, "busyNanos");
		Preconditions.notNull(expectedLoad, "expectedLoad");
		Preconditions.check(expectedLoad.length == 0 || expectedLoad.length == busyNanos.length,
				"expectedLoad must be empty or have %d ranks: %d", busyNanos.length, expectedLoad.length);
		busyNanos = busyNanos.clone();
		expectedLoad = expectedLoad.clone();
	}

	/**
	 * Creates step times with an unknown load.
	 * @param busyNanos the busy time of each rank in nanoseconds
	 * @return the step times
	 */
	public static StepTimes of(double... busyNanos) {
		return new StepTimes(busyNanos, new double[0]);
	}

	@Override
	public double[] busyNanos() {
		return this.busyNanos.clone();
	}

	@Override
	public double[] expectedLoad() {
		return this.expectedLoad.clone();
	}

}
