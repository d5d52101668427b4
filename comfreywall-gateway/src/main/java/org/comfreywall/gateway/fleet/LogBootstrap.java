package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;
import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.toml.HostPort;
import org.comfreywall.transport.generated.FoundingReply;
import org.comfreywall.transport.generated.FoundingRequest;
import org.comfreywall.transport.worker.SerialWorker;

/**
 * Opens this process's replica of the replicated log, and bootstraps the log exactly once
 * at the first start of the fleet. One process, the bootstrap coordinator, chooses the
 * initial voters.
 */
final class LogBootstrap {

	private static final EventLog LOG = EventLog.of(LogBootstrap.class);

	private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);

	private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

	private final FleetSettings settings;

	private final Supplier<FleetPeer> self;

	private final PeerClients clients;

	private final EventLoop loop;

	private final SerialWorker storageWorker;

	private final BootstrapQuorum quorum;

	LogBootstrap(FleetSettings settings, Supplier<FleetPeer> self, PeerClients clients, EventLoop loop,
			SerialWorker storageWorker) {
		this.settings = settings;
		this.self = self;
		this.clients = clients;
		this.loop = loop;
		this.storageWorker = storageWorker;
		this.quorum = new BootstrapQuorum(settings.targetVoters());
	}

	void open(LocalReplica replica) {
		if (replica.hasLog() || !this.settings.firstStart()) {
			replica.open();
			return;
		}
		this.loop.execute(() -> requestInitialVoters(replica));
	}

	// All processes must agree on the coordinator, so that the log is bootstrapped once.
	// They choose the seed whose address is first in lexicographic order, as the seeds
	// are the same on all processes at the first start.
	private void requestInitialVoters(LocalReplica replica) {
		Optional<HostPort> coordinator = this.settings.seeds()
			.stream()
			.min((a, b) -> a.toString().compareTo(b.toString()));
		if (coordinator.isEmpty()) {
			return;
		}
		FoundingRequest request = FoundingRequest.newBuilder().setMember(FleetCodec.encode(this.self.get())).build();
		CompletableFuture<Result<FoundingReply>> resultFuture = coordinator.get().equals(this.settings.address())
				? CompletableFuture.completedFuture(handleFoundingRequest(request))
				: this.clients.findOrOpen(coordinator.get()).call(FleetMethods.BOOTSTRAP, request, REQUEST_TIMEOUT);
		resultFuture.thenAcceptAsync((result) -> openWithInitialVoters(replica, result), this.loop);
	}

	// Requests the initial voters again if the coordinator has not chosen them yet.
	private void openWithInitialVoters(LocalReplica replica, Result<FoundingReply> result) {
		List<String> initialVoters = result.value()
			.map((reply) -> List.copyOf(reply.getFoundersList()))
			.orElse(List.of());
		if (initialVoters.isEmpty()) {
			this.loop.schedule(() -> requestInitialVoters(replica), RETRY_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
			return;
		}
		LOG.info("log-founded", Field.of("founders", initialVoters), Field.of("self", this.settings.instance()));
		boolean isInitialVoter = initialVoters.contains(this.settings.instance());
		boolean accepted = this.storageWorker.offer(() -> {
			if (isInitialVoter) {
				replica.bootstrap(initialVoters);
			}
			else {
				replica.open();
			}
		});
		if (!accepted) {
			// A slow disk keeps the worker busy.
			this.loop.schedule(() -> openWithInitialVoters(replica, result), RETRY_INTERVAL.toMillis(),
					TimeUnit.MILLISECONDS);
		}
	}

	// Registers the sender as a candidate; the reply is empty until the initial voters
	// are chosen.
	Result<FoundingReply> handleFoundingRequest(FoundingRequest request) {
		FoundingReply.Builder reply = FoundingReply.newBuilder();
		// After the first start no voters are chosen, so that the log is
		// bootstrapped once.
		if (this.settings.firstStart()) {
			FleetCodec.decode(request.getMember())
				.ifPresent((peer) -> reply.addAllFounders(this.quorum.register(peer, System.nanoTime())));
		}
		return Result.success(reply.build());
	}

}
