package org.comfreywall.transport;

import java.net.InetSocketAddress;

import io.netty.channel.Channel;
import org.comfreywall.common.toml.HostPort;

/**
 * Accepts connections from peers until closed.
 */
public final class TransportServer implements AutoCloseable {

	private final Channel channel;

	TransportServer(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Returns the address on which connections are accepted.
	 * @return the local address with the bound port
	 */
	public HostPort address() {
		InetSocketAddress local = (InetSocketAddress) this.channel.localAddress();
		return new HostPort(local.getAddress().getHostAddress(), local.getPort());
	}

	/**
	 * Stops accepting connections; established ones stay open.
	 */
	@Override
	public void close() {
		this.channel.close().syncUninterruptibly();
	}

}
