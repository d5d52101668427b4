package org.comfreywall.group.mapswitch;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of a rank's agent.
 *
 * @param retryNanos time between repeated reports, in nanoseconds
 * @param progressNanos time between progress reports, in nanoseconds
 */
public record AgentSettings(long retryNanos, long progressNanos) {

	/** The default settings. */
	public static final AgentSettings DEFAULT = new AgentSettings(Duration.ofMillis(50).toNanos(),
			Duration.ofMillis(200).toNanos());

	public AgentSettings {
		Preconditions.check(retryNanos > 0, "retryNanos must be positive: %d", retryNanos);
		Preconditions.check(progressNanos > 0, "progressNanos must be positive: %d", progressNanos);
	}

}
