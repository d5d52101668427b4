package org.comfreywall.gateway.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;

import org.comfreywall.gateway.group.DeputyPort;
import org.comfreywall.gateway.group.EntrustedSwitch;

/**
 * Dispatches calls of the thread that coordinates groups to the event loop.
 *
 * @param loop the event loop
 * @param calls sends the messages to the deputies
 */
record LoopDeputyPort(Executor loop, GroupCalls calls) implements DeputyPort {

	@Override
	public CompletableFuture<Void> entrust(EntrustedSwitch entrusted) {
		return CompletableFuture.supplyAsync(() -> this.calls.entrust(entrusted), this.loop)
			.thenCompose(Function.identity());
	}

	@Override
	public void ended(EntrustedSwitch entrusted) {
		this.loop.execute(() -> this.calls.ended(entrusted));
	}

}
