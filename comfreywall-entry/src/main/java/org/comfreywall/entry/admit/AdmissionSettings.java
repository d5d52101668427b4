package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of an admission controller.
 *
 * @param bounds the longest times in queue
 * @param maxQueued the most requests in queue
 * @param minConcurrency the fewest requests allowed to run at one time
 * @param initialConcurrency the requests allowed to run at one time after the start
 * @param maxConcurrency the most requests allowed to run at one time
 * @param adaptInterval the shortest time between two changes of the concurrency
 * @param latencyTolerance how many times its unloaded time a request may take before the
 * concurrency is lowered, above 1
 */
public record AdmissionSettings(QueueBounds bounds, int maxQueued, int minConcurrency, int initialConcurrency,
		int maxConcurrency, Duration adaptInterval, double latencyTolerance) {

	/** The settings used unless others are given. */
	public static final AdmissionSettings DEFAULT = new AdmissionSettings(QueueBounds.DEFAULT, 4096, 4, 64, 8192,
			Duration.ofMillis(200), 1.5);

	public AdmissionSettings {
		Preconditions.notNull(bounds, "bounds");
		Preconditions.notNull(adaptInterval, "adaptInterval");
		Preconditions.check(maxQueued >= 1, "maxQueued must be at least 1: %d", maxQueued);
		Preconditions.check(minConcurrency >= 1, "minConcurrency must be at least 1: %d", minConcurrency);
		Preconditions.check(initialConcurrency >= minConcurrency && initialConcurrency <= maxConcurrency,
				"initialConcurrency must lie between minConcurrency and maxConcurrency: %d", initialConcurrency);
		Preconditions.check(latencyTolerance > 1, "latencyTolerance must be above 1: %s", latencyTolerance);
	}

}
