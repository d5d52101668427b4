package org.comfreywall.gateway.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;

import org.comfreywall.gateway.group.DelegatedSwitch;
import org.comfreywall.gateway.group.DeputyPort;

/**
 * Dispatches calls of the thread that coordinates groups to the event loop.
 *
 * @param loop the event loop
 * @param messenger sends the messages to the deputies
 */
record EventLoopDeputyPort(Executor loop, GroupMessenger messenger) implements DeputyPort {

	@Override
	public CompletableFuture<Void> delegate(DelegatedSwitch delegatedSwitch) {
		return CompletableFuture.supplyAsync(() -> this.messenger.delegate(delegatedSwitch), this.loop)
			.thenCompose(Function.identity());
	}

	@Override
	public void notifyEnded(DelegatedSwitch delegatedSwitch) {
		this.loop.execute(() -> this.messenger.notifyEnded(delegatedSwitch));
	}

}
