package org.comfreywall.gateway.http;

import org.comfreywall.common.util.Preconditions;

/**
 * What one connection from a caller holds.
 *
 * @param <C> the type of the connection
 * @param connection the connection
 * @param phase what it is occupied with
 * @param bytes the memory that is held for it
 * @param quietSince when the caller last sent or read a byte, in nanoseconds
 */
record HeldConnection<C>(C connection, CallerPhase phase, long bytes, long quietSince) {

	HeldConnection {
		Preconditions.notNull(connection, "connection");
		Preconditions.notNull(phase, "phase");
	}

}
