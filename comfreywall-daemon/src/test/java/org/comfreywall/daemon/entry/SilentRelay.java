package org.comfreywall.daemon.entry;

import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.comfreywall.common.toml.HostPort;

/**
 * Passes bytes between two ends until told to drop those of all connections open so far,
 * without closing them; later connections work.
 */
final class SilentRelay {

	private final Vertx vertx;

	private final HostPort target;

	private final NetServer server;

	private final AtomicInteger generation = new AtomicInteger();

	SilentRelay(Vertx vertx, HostPort target) {
		this.vertx = vertx;
		this.target = target;
		this.server = vertx.createNetServer().connectHandler(this::accept).listen(0, "127.0.0.1").await();
	}

	HostPort address() {
		return new HostPort("127.0.0.1", this.server.actualPort());
	}

	void silence() {
		this.generation.incrementAndGet();
	}

	private void accept(NetSocket near) {
		int opened = this.generation.get();
		near.pause();
		this.vertx.createNetClient().connect(this.target.port(), this.target.host()).onSuccess((far) -> {
			pass(near, far, opened);
			pass(far, near, opened);
			near.resume();
		}).onFailure((cause) -> near.close());
	}

	private void pass(NetSocket from, NetSocket to, int opened) {
		from.handler((data) -> {
			if (this.generation.get() == opened) {
				to.write(data);
			}
		});
	}

}
