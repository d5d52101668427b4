package org.comfreywall.gateway.poison;

import java.time.Duration;

/**
 * The decision to refuse requests with certain traits for a while.
 *
 * @param crashes the number of separate crashes that the traits are charged with
 * @param probation the time after the last crash for which no such request runs
 * @param until the end of the probation, in nanoseconds of this process's clock
 */
record Conviction(int crashes, Duration probation, long until) {

	/** Probation after the first crash. */
	private static final Duration FIRST_PROBATION = Duration.ofSeconds(30);

	/** Factor for each further crash. */
	private static final int PROBATION_FACTOR = 4;

	private static final Duration MAX_PROBATION = Duration.ofHours(1);

	static Conviction of(int crashes, long lastCrash) {
		Duration wait = FIRST_PROBATION;
		for (int i = 1; i < crashes && wait.compareTo(MAX_PROBATION) < 0; i++) {
			wait = wait.multipliedBy(PROBATION_FACTOR);
		}
		Duration bounded = (wait.compareTo(MAX_PROBATION) < 0) ? wait : MAX_PROBATION;
		return new Conviction(crashes, bounded, lastCrash + bounded.toNanos());
	}

}
