package org.comfreywall.transport;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.common.util.Preconditions;

/**
 * Opens and accepts connections between processes.
 */
public final class Transport implements AutoCloseable {

	/** Version of the protocol between processes, exchanged when a connection opens. */
	public static final int PROTOCOL_VERSION = 1;

	private final PeerIdentity self;

	private final ConnectionTimeouts timeouts;

	private final TransportSecurity security;

	private final EventLoopGroup eventLoops;

	/**
	 * Creates a transport.
	 * @param self the identity that this process sends to its peers
	 * @param timeouts the heartbeat interval and the timeouts of connections
	 * @param security provides the handlers that secure connections
	 * @param threads the number of event loops, at least 1
	 */
	public Transport(PeerIdentity self, ConnectionTimeouts timeouts, TransportSecurity security, int threads) {
		this.self = Preconditions.notNull(self, "self");
		this.timeouts = Preconditions.notNull(timeouts, "timeouts");
		this.security = Preconditions.notNull(security, "security");
		Preconditions.check(threads >= 1, "threads must be at least 1: %d", threads);
		this.eventLoops = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
	}

	/**
	 * Returns the identity that this process sends to its peers.
	 * @return the identity
	 */
	public PeerIdentity self() {
		return this.self;
	}

	/**
	 * Returns the heartbeat interval and the timeouts of connections.
	 * @return the timeouts
	 */
	public ConnectionTimeouts timeouts() {
		return this.timeouts;
	}

	/**
	 * Accepts connections.
	 * @param address the address to listen on; port 0 selects a free port
	 * @param listener receives the events of accepted connections
	 * @return the listening server
	 */
	public TransportServer listen(HostPort address, PeerListener listener) {
		Preconditions.notNull(address, "address");
		Preconditions.notNull(listener, "listener");
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new PeerChannelInitializer(this.security::serverHandlers,
					() -> new PeerHandler(this.self, this.timeouts, listener)));
		Channel channel = bootstrap.bind(socketAddress(address)).syncUninterruptibly().channel();
		return new TransportServer(channel);
	}

	/**
	 * Opens a connection. {@link PeerListener#onOpen} is called once the peer's identity
	 * has been received.
	 * @param address the peer's address
	 * @param listener receives the connection's events
	 * @return completes with {@code true} once the TCP connection is established, before
	 * the TLS handshake and the exchange of identities; {@code false} if the peer cannot
	 * be reached, in which case the listener is not called
	 */
	public CompletableFuture<Boolean> connect(HostPort address, PeerListener listener) {
		Preconditions.notNull(address, "address");
		Preconditions.notNull(listener, "listener");
		Bootstrap bootstrap = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.timeouts.connectTimeout().toMillis())
			.handler(new PeerChannelInitializer(this.security::clientHandlers,
					() -> new PeerHandler(this.self, this.timeouts, listener)));
		CompletableFuture<Boolean> connected = new CompletableFuture<>();
		ChannelFuture future = bootstrap.connect(socketAddress(address));
		future.addListener((done) -> connected.complete(done.isSuccess()));
		return connected;
	}

	EventLoopGroup eventLoops() {
		return this.eventLoops;
	}

	/**
	 * Closes all connections and event loops.
	 */
	@Override
	public void close() {
		this.eventLoops.shutdownGracefully(0, this.timeouts.connectTimeout().toMillis(), TimeUnit.MILLISECONDS)
			.syncUninterruptibly();
	}

	private static InetSocketAddress socketAddress(HostPort address) {
		return new InetSocketAddress(address.host(), address.port());
	}

}
