package org.comfreywall.transport;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Heartbeat interval and timeouts of a connection.
 *
 * @param heartbeatInterval the time between two heartbeats
 * @param suspicionTimeout the time without a frame from the peer after which the listener
 * is notified, so that it can open a replacement connection
 * @param idleTimeout the time without a frame from the peer after which the connection is
 * closed
 * @param connectTimeout the time allowed for opening a connection
 */
public record ConnectionTimeouts(Duration heartbeatInterval, Duration suspicionTimeout, Duration idleTimeout,
		Duration connectTimeout) {

	/** Defaults for links within a region. */
	public static final ConnectionTimeouts DEFAULT = new ConnectionTimeouts(Duration.ofMillis(300),
			Duration.ofMillis(900), Duration.ofMillis(2000), Duration.ofMillis(1000));

	public ConnectionTimeouts {
		Preconditions.notNull(heartbeatInterval, "heartbeatInterval");
		Preconditions.notNull(suspicionTimeout, "suspicionTimeout");
		Preconditions.notNull(idleTimeout, "idleTimeout");
		Preconditions.notNull(connectTimeout, "connectTimeout");
		Preconditions.check(heartbeatInterval.compareTo(suspicionTimeout) < 0,
				"heartbeatInterval must be shorter than suspicionTimeout: %s", heartbeatInterval);
		Preconditions.check(suspicionTimeout.compareTo(idleTimeout) < 0,
				"suspicionTimeout must be shorter than idleTimeout: %s", suspicionTimeout);
	}

}
