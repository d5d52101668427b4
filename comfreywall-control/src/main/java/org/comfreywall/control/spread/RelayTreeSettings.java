package org.comfreywall.control.spread;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Settings of the relay tree.
 *
 * @param fanOut the planned number of children of each relay
 * @param maxChildren the maximum number of children that a node accepts
 * @param tickInterval the interval between {@code Tick} events
 * @param rootHeartbeatInterval the interval between the leader's heartbeats to its
 * children
 * @param childHeartbeatInterval the maximum interval between a node's heartbeats to its
 * parent; a node with changes sends them earlier
 * @param connectTimeout the time that a node waits for the first heartbeat of a new
 * parent before it selects another one
 * @param parentTimeout the time without a heartbeat from the parent after which a node
 * selects another parent
 * @param rootTimeout the time without a new heartbeat of the leader, relayed by the
 * parent, after which a node attaches to a control instance; multiplied by a backoff
 * factor that doubles with each consecutive timeout up to
 * {@value #MAX_ROOT_TIMEOUT_FACTOR}, and extended by a random part of the result
 * @param childTimeout the time without a heartbeat after which a child is removed and
 * reported absent
 * @param resendTimeout the time after which an unacknowledged update is sent again
 */
public record RelayTreeSettings(int fanOut, int maxChildren, Duration tickInterval, Duration rootHeartbeatInterval,
		Duration childHeartbeatInterval, Duration connectTimeout, Duration parentTimeout, Duration rootTimeout,
		Duration childTimeout, Duration resendTimeout) {

	/** The maximum backoff factor of {@link #rootTimeout()}. */
	public static final int MAX_ROOT_TIMEOUT_FACTOR = 4;

	/** Settings for up to 5,500 nodes. */
	public static final RelayTreeSettings DEFAULTS = new RelayTreeSettings(16, 48, Duration.ofMillis(100),
			Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofMillis(700), Duration.ofMillis(1600),
			Duration.ofSeconds(4), Duration.ofMillis(3500), Duration.ofSeconds(1));

	public RelayTreeSettings {
		Preconditions.check(fanOut >= 2, "fanOut must be at least 2: %d", fanOut);
		Preconditions.check(maxChildren >= fanOut, "maxChildren must be at least fanOut: %d", maxChildren);
		Preconditions.check(isPositive(tickInterval), "tickInterval must be positive: %s", tickInterval);
		Preconditions.check(isPositive(rootHeartbeatInterval), "rootHeartbeatInterval must be positive: %s",
				rootHeartbeatInterval);
		Preconditions.check(isPositive(childHeartbeatInterval), "childHeartbeatInterval must be positive: %s",
				childHeartbeatInterval);
		Preconditions.check(isPositive(connectTimeout), "connectTimeout must be positive: %s", connectTimeout);
		Preconditions.check(parentTimeout.compareTo(rootHeartbeatInterval) > 0,
				"parentTimeout must be longer than rootHeartbeatInterval: %s", parentTimeout);
		Preconditions.check(rootTimeout.compareTo(parentTimeout) > 0,
				"rootTimeout must be longer than parentTimeout: %s", rootTimeout);
		Preconditions.check(childTimeout.compareTo(childHeartbeatInterval) > 0,
				"childTimeout must be longer than childHeartbeatInterval: %s", childTimeout);
		Preconditions.check(isPositive(resendTimeout), "resendTimeout must be positive: %s", resendTimeout);
	}

	private static boolean isPositive(Duration duration) {
		return !duration.isNegative() && !duration.isZero();
	}

}
