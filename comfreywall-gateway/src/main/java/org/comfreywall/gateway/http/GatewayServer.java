package org.comfreywall.gateway.http;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Listening socket that accepts connections from callers.
 */
public final class GatewayServer implements AutoCloseable {

	/**
	 * Length of the accept queue, for bursts of new connections while the event loop is
	 * busy.
	 */
	private static final int BACKLOG = 1024;

	private static final int MAX_LINE_BYTES = 8 << 10;

	private static final int MIN_READ_BYTES = 256;

	private static final int FIRST_READ_BYTES = 2 << 10;

	/**
	 * An incomplete head keeps the whole buffer into which it was read, so that buffer is
	 * not larger than a head may be.
	 */
	private static final int MAX_READ_BYTES = 16 << 10;

	private final Channel channel;

	private GatewayServer(Channel channel) {
		this.channel = channel;
	}

	/**
	 * Binds a listening socket.
	 * @param gateway the gateway that processes the requests
	 * @param address the address to listen on; port 0 selects a free port
	 * @return the open server
	 */
	public static GatewayServer open(Gateway gateway, HostPort address) {
		Preconditions.notNull(gateway, "gateway");
		ServerBootstrap bootstrap = new ServerBootstrap().group(gateway.loop())
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
			.handler(new AcceptFailureHandler(gateway))
			.childHandler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel caller) {
					HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES)
						.setMaxHeaderSize(gateway.limits().maxHeaderBytes());
					CallerConnection connection = new CallerConnection(gateway);
					caller.pipeline().addLast(new CallerTraffic(connection), new HttpServerCodec(config), connection);
				}

			});
		Channel channel = bootstrap.bind(address.host(), address.port()).syncUninterruptibly().channel();
		GatewayServer server = new GatewayServer(channel);
		gateway.addServer(server);
		return server;
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	/**
	 * Stops accepting; open connections stay open.
	 */
	@Override
	public void close() {
		this.channel.close();
	}

}
