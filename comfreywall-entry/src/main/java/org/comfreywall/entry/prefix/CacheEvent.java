package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;

/**
 * An event that a backend server sends about its prefix cache.
 */
public sealed interface CacheEvent permits BlocksStored, BlocksRemoved, CacheSnapshot {

	/**
	 * Returns the backend server.
	 * @return the server
	 */
	BackendServerId server();

	/**
	 * Returns the incarnation of the backend server that sent the event.
	 * @return the incarnation
	 */
	Incarnation incarnation();

	/**
	 * Returns the sequence number; a server numbers its events without gaps from 1.
	 * @return the sequence number
	 */
	long sequence();

}
