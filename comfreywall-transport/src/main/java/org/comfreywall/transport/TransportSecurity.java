package org.comfreywall.transport;

import java.util.List;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;

/**
 * Provides the handlers that secure new connections.
 */
public interface TransportSecurity {

	/** Unencrypted, unauthenticated connections. */
	TransportSecurity PLAIN = new TransportSecurity() {

		@Override
		public List<ChannelHandler> serverHandlers(Channel channel) {
			return List.of();
		}

		@Override
		public List<ChannelHandler> clientHandlers(Channel channel) {
			return List.of();
		}

	};

	/**
	 * Returns the handlers for an accepted connection.
	 * @param channel the connection's channel
	 * @return the handlers, starting with the one nearest to the network
	 */
	List<ChannelHandler> serverHandlers(Channel channel);

	/**
	 * Returns the handlers for a connection opened by this process.
	 * @param channel the connection's channel
	 * @return the handlers, starting with the one nearest to the network
	 */
	List<ChannelHandler> clientHandlers(Channel channel);

}
