package org.comfreywall.entry.prefix;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;

/**
 * What a backend server tells about its prefix cache.
 */
public sealed interface CacheEvent permits BlocksStored, BlocksRemoved, CacheSnapshot {

	/**
	 * Returns the backend server.
	 * @return the server
	 */
	BackendServerId server();

	/**
	 * Returns the life of the backend server that the event belongs to.
	 * @return the incarnation
	 */
	Incarnation incarnation();

	/**
	 * Returns the event's number; a server numbers its events without gaps from 1.
	 * @return the sequence number
	 */
	long sequence();

}
