package org.comfreywall.daemon.entry;

import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.comfreywall.common.toml.HostPort;

/**
 * TCP proxy that can drop all bytes of the connections open so far without closing them;
 * later connections are forwarded.
 */
final class BlackholeProxy {

	private final Vertx vertx;

	private final HostPort target;

	private final NetServer server;

	private final AtomicInteger generation = new AtomicInteger();

	BlackholeProxy(Vertx vertx, HostPort target) {
		this.vertx = vertx;
		this.target = target;
		this.server = vertx.createNetServer().connectHandler(this::handleConnection).listen(0, "127.0.0.1").await();
	}

	HostPort address() {
		return new HostPort("127.0.0.1", this.server.actualPort());
	}

	void dropOpenConnections() {
		this.generation.incrementAndGet();
	}

	private void handleConnection(NetSocket client) {
		int opened = this.generation.get();
		client.pause();
		this.vertx.createNetClient().connect(this.target.port(), this.target.host()).onSuccess((upstream) -> {
			forward(client, upstream, opened);
			forward(upstream, client, opened);
			client.resume();
		}).onFailure((cause) -> client.close());
	}

	private void forward(NetSocket from, NetSocket to, int opened) {
		from.handler((data) -> {
			if (this.generation.get() == opened) {
				to.write(data);
			}
		});
	}

}
