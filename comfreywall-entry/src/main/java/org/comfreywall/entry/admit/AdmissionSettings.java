package org.comfreywall.entry.admit;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of an admission controller.
 *
 * @param queueTimeLimits the maximum time in queue of each priority class
 * @param maxQueued the maximum number of queued requests
 * @param minConcurrency the lower limit of the concurrency
 * @param initialConcurrency the number of requests that may run at one time after the
 * start
 * @param maxConcurrency the upper limit of the concurrency
 * @param adaptInterval the minimum time between two changes of the concurrency
 * @param latencyTolerance the ratio of the mean run time to that at low load, above 1,
 * beyond which the concurrency is reduced
 */
public record AdmissionSettings(QueueTimeLimits queueTimeLimits, int maxQueued, int minConcurrency,
		int initialConcurrency, int maxConcurrency, Duration adaptInterval, double latencyTolerance) {

	/** The default settings. */
	public static final AdmissionSettings DEFAULT = new AdmissionSettings(QueueTimeLimits.DEFAULT, 4096, 4, 64, 8192,
			Duration.ofMillis(200), 1.4);

	public AdmissionSettings {
		Preconditions.notNull(queueTimeLimits, "queueTimeLimits");
		Preconditions.notNull(adaptInterval, "adaptInterval");
		Preconditions.check(maxQueued >= 1, "maxQueued must be at least 1: %d", maxQueued);
		Preconditions.check(minConcurrency >= 1, "minConcurrency must be at least 1: %d", minConcurrency);
		Preconditions.check(initialConcurrency >= minConcurrency && initialConcurrency <= maxConcurrency,
				"initialConcurrency must lie between minConcurrency and maxConcurrency: %d", initialConcurrency);
		Preconditions.check(latencyTolerance > 1, "latencyTolerance must be above 1: %s", latencyTolerance);
	}

}
