package org.comfreywall.transport;

import java.time.Duration;

import org.comfreywall.common.util.Preconditions;

/**
 * Times that govern a connection.
 *
 * @param heartbeat the time between heartbeats
 * @param suspicion the time without a message from the peer after which a second
 * connection is tried
 * @param silence the time without a message from the peer after which the connection is
 * closed
 * @param connect the time allowed for opening a connection
 */
public record ConnectionTimes(Duration heartbeat, Duration suspicion, Duration silence, Duration connect) {

	/** Times for links within a region. */
	public static final ConnectionTimes DEFAULT = new ConnectionTimes(Duration.ofMillis(300), Duration.ofMillis(900),
			Duration.ofMillis(2000), Duration.ofMillis(1000));

	public ConnectionTimes {
		Preconditions.notNull(heartbeat, "heartbeat");
		Preconditions.notNull(suspicion, "suspicion");
		Preconditions.notNull(silence, "silence");
		Preconditions.notNull(connect, "connect");
		Preconditions.check(heartbeat.compareTo(suspicion) < 0, "heartbeat must be shorter than suspicion: %s",
				heartbeat);
		Preconditions.check(suspicion.compareTo(silence) < 0, "suspicion must be shorter than silence: %s", suspicion);
	}

}
