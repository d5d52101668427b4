package org.comfreywall.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.comfreywall.gateway.pool.ServerAnnouncement;

/**
 * Pool of idle connections to backend servers.
 */
final class ServerConnectionPool {

	/**
	 * Three round trips to the most distant failure domain of a region, with a margin.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 400;

	/** The most idle connections to one server; the oldest ones are closed. */
	private static final int MAX_IDLE = 12;

	private final EventLoopGroup loop;

	private final HeaderNames names;

	private final RequestLog log;

	private final ResponseObserver observer;

	private final Map<String, Deque<ServerConnection>> idle = new HashMap<>();

	ServerConnectionPool(EventLoopGroup loop, HeaderNames names, RequestLog log, ResponseObserver observer) {
		this.loop = loop;
		this.names = names;
		this.log = log;
		this.observer = observer;
	}

	RequestLog log() {
		return this.log;
	}

	ResponseObserver observer() {
		return this.observer;
	}

	/**
	 * Reuses an idle connection or opens one.
	 * @param server the server
	 * @param longestIdleNanos the longest time in nanoseconds that a reused connection
	 * may have been idle; 0 opens a connection
	 * @param ready receives the connection
	 * @param failed called if no connection can be opened
	 */
	void acquire(ServerAnnouncement server, long longestIdleNanos, Consumer<ServerConnection> ready, Runnable failed) {
		long now = System.nanoTime();
		Deque<ServerConnection> idleConnections = this.idle.get(key(server));
		while (longestIdleNanos > 0 && idleConnections != null && !idleConnections.isEmpty()) {
			ServerConnection connection = idleConnections.pollLast();
			if (connection.isUsable(now, longestIdleNanos)) {
				ready.accept(connection);
				return;
			}
			connection.close();
		}
		open(server, ready, failed);
	}

	private void open(ServerAnnouncement server, Consumer<ServerConnection> ready, Runnable failed) {
		ServerConnection connection = new ServerConnection(this, server, this.names);
		ChannelFuture attempt = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			// The end of the input is an event of its own then, which tells it from a
			// close
			// by this process.
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<Channel>() {

				@Override
				protected void initChannel(Channel channel) {
					channel.pipeline().addLast(connection.handlers());
				}

			})
			.connect(server.address().host(), server.address().port());
		attempt.addListener((done) -> {
			if (done.isSuccess()) {
				ready.accept(connection);
			}
			else {
				failed.run();
			}
		});
	}

	void release(ServerConnection connection) {
		Deque<ServerConnection> idleConnections = this.idle.computeIfAbsent(key(connection.server()),
				(key) -> new ArrayDeque<>());
		idleConnections.addLast(connection);
		if (idleConnections.size() > MAX_IDLE) {
			idleConnections.pollFirst().close();
		}
	}

	void remove(ServerConnection connection) {
		String key = key(connection.server());
		Deque<ServerConnection> idleConnections = this.idle.get(key);
		if (idleConnections != null) {
			idleConnections.remove(connection);
			if (idleConnections.isEmpty()) {
				this.idle.remove(key);
			}
		}
	}

	private static String key(ServerAnnouncement server) {
		return server.server() + "/" + server.startedMillis();
	}

}
