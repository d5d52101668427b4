package org.comfreywall.control.spread;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the relay tree.
 *
 * @param fanOut the number of children that the tree plans for each relay
 * @param maxChildren the number of children that a node accepts at most
 * @param tickInterval how often a {@link SpreadEvent.Tick} is due
 * @param beatInterval how often the leader sends a beat
 * @param heartbeatInterval how often a node sends a heartbeat when nothing changes
 * @param connectTimeout how long a node waits for the first beat of a new parent
 * @param silenceTimeout how long a parent may be silent before another is chosen
 * @param rootStaleTimeout how long the leader's beats may be missing before a control
 * instance is asked for another parent; up to twice as long at random, and with each time
 * in a row twice as long again, up to {@value #MAX_STALE_FACTOR} times
 * @param childTimeout how long a child may be silent before it is reported absent
 * @param resendTimeout how long an unconfirmed update is left before it is sent again
 */
public record SpreadSettings(int fanOut, int maxChildren, Duration tickInterval, Duration beatInterval,
		Duration heartbeatInterval, Duration connectTimeout, Duration silenceTimeout, Duration rootStaleTimeout,
		Duration childTimeout, Duration resendTimeout) {

	/** The greatest factor by which {@link #rootStaleTimeout()} is lengthened. */
	public static final int MAX_STALE_FACTOR = 4;

	/** Settings for up to 5,500 nodes. */
	public static final SpreadSettings DEFAULTS = new SpreadSettings(16, 48, Duration.ofMillis(100),
			Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofMillis(700), Duration.ofMillis(1600),
			Duration.ofSeconds(4), Duration.ofMillis(3500), Duration.ofSeconds(1));

	public SpreadSettings {
		Preconditions.check(fanOut >= 2, "fanOut must be at least 2: %d", fanOut);
		Preconditions.check(maxChildren >= fanOut, "maxChildren must be at least fanOut: %d", maxChildren);
		Preconditions.check(isPositive(tickInterval), "tickInterval must be positive: %s", tickInterval);
		Preconditions.check(isPositive(beatInterval), "beatInterval must be positive: %s", beatInterval);
		Preconditions.check(isPositive(heartbeatInterval), "heartbeatInterval must be positive: %s", heartbeatInterval);
		Preconditions.check(isPositive(connectTimeout), "connectTimeout must be positive: %s", connectTimeout);
		Preconditions.check(silenceTimeout.compareTo(beatInterval) > 0,
				"silenceTimeout must be longer than beatInterval: %s", silenceTimeout);
		Preconditions.check(rootStaleTimeout.compareTo(silenceTimeout) > 0,
				"rootStaleTimeout must be longer than silenceTimeout: %s", rootStaleTimeout);
		Preconditions.check(childTimeout.compareTo(heartbeatInterval) > 0,
				"childTimeout must be longer than heartbeatInterval: %s", childTimeout);
		Preconditions.check(isPositive(resendTimeout), "resendTimeout must be positive: %s", resendTimeout);
	}

	private static boolean isPositive(Duration duration) {
		return !duration.isNegative() && !duration.isZero();
	}

}
