package org.comfreywall.gateway.group;

import java.util.concurrent.CompletableFuture;

import org.comfreywall.common.toml.HostPort;

/**
 * Sends orders to engines.
 */
@FunctionalInterface
public interface EnginePort {

	/**
	 * Sends an order.
	 * @param server the backend server's identifier
	 * @param address the backend server's address
	 * @param order the order
	 * @return completes with the answer, or with {@link OrderAnswer#UNKNOWN} if there was
	 * none; never exceptionally
	 */
	CompletableFuture<OrderAnswer> send(String server, HostPort address, EngineOrder order);

}
