package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.EvacuationAnswer;
import org.comfreywall.control.state.EvacuationCodec;
import org.comfreywall.control.state.EvacuationCommand;
import org.comfreywall.control.state.EvacuationLedger;
import org.comfreywall.control.state.EvacuationOrders;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.transport.generated.FleetNews;

/**
 * Keeps the newest orders of evacuation that this process has received.
 * <p>
 * The replicated log decides on the order of starts and finishes. Each update of the
 * fleet carries the whole set with its version; a higher version replaces a lower one,
 * never the reverse, so updates may be lost, repeated or overtake each other.
 * <p>
 * Each proposal states the version that was known when its operator connected. An
 * operator without a response gives the order again elsewhere and goes on from there; if
 * the first one was only delayed, the ledger refuses it. Confined to the event loop.
 */
final class EvacuationSync {

	private static final EventLog LOG = EventLog.of(EvacuationSync.class);

	/**
	 * An operator sends an order again after 1 s without a response. A 503 before that
	 * leaves the connection in a known state.
	 */
	private static final Duration PROPOSAL_TIMEOUT = Duration.ofMillis(900);

	private static final Result<Bytes> TIMED_OUT = Result.failure(OperationError.local(ErrorCode.DEADLINE_EXCEEDED,
			Step.REPLICATE, "a majority of the voters did not confirm the order in time"));

	private final Executor loop;

	private final Supplier<LeaderClient> leader;

	/**
	 * Time in which a running process accepts the connections that wait for it. Orders
	 * that it learnt of since may be newer than the order on such a connection.
	 */
	private static final Duration ACCEPT_TIME = Duration.ofMillis(25);

	private final BooleanSupplier versioned;

	private final Consumer<EvacuationOrders> listener;

	private EvacuationOrders orders = EvacuationOrders.NONE;

	/** The versions known within the accept time, oldest first. */
	private final Deque<KnownVersion> recent = new ArrayDeque<>();

	private long outdated;

	/**
	 * Creates a synchronisation without orders.
	 * @param loop the event loop
	 * @param leader returns the client of the current leader
	 * @param versioned returns whether all replicas check the known version of a command
	 * @param listener receives each newer version of the orders
	 */
	EvacuationSync(Executor loop, Supplier<LeaderClient> leader, BooleanSupplier versioned,
			Consumer<EvacuationOrders> listener) {
		this.loop = loop;
		this.leader = leader;
		this.versioned = versioned;
		this.listener = listener;
		this.recent.add(new KnownVersion(0, System.nanoTime() - ACCEPT_TIME.toNanos()));
	}

	/**
	 * Returns the version known when a connection that is accepted now was opened, at
	 * most.
	 * @param now the current time in nanoseconds
	 * @return the version
	 */
	long versionBeforeAccept(long now) {
		discardBefore(now - ACCEPT_TIME.toNanos());
		return this.recent.getFirst().version();
	}

	private void discardBefore(long time) {
		KnownVersion oldest = this.recent.removeFirst();
		while (!this.recent.isEmpty() && this.recent.getFirst().learntAt() - time <= 0) {
			oldest = this.recent.removeFirst();
		}
		this.recent.addFirst(oldest);
	}

	/**
	 * Returns the number of proposals that were refused since another order had taken
	 * effect after the version that they state.
	 * @return the count since the start of this process
	 */
	long outdated() {
		return this.outdated;
	}

	EvacuationOrders orders() {
		return this.orders;
	}

	CompletableFuture<Boolean> propose(String domain, boolean start, long knownVersion) {
		EvacuationCommand command = new EvacuationCommand(domain, start,
				this.versioned.getAsBoolean() ? OptionalLong.of(knownVersion) : OptionalLong.empty());
		return this.leader.get()
			.propose(new LedgerCommand(EvacuationLedger.NAME, EvacuationCodec.encode(command)))
			.completeOnTimeout(TIMED_OUT, PROPOSAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenApplyAsync((answer) -> {
				Optional<EvacuationAnswer> after = answer.value().flatMap(EvacuationCodec::decodeAnswer);
				boolean accepted = after.filter(EvacuationAnswer::isAccepted).isPresent();
				boolean refused = after.filter(EvacuationAnswer::outdated).isPresent();
				this.outdated += refused ? 1 : 0;
				LOG.info("evacuation-proposed", Field.of("domain", domain), Field.of("start", start),
						Field.of("known-version", knownVersion),
						Field.of("versioned", command.knownVersion().isPresent()), Field.of("accepted", accepted),
						Field.of("outdated", refused),
						Field.of("version", after.map((found) -> found.orders().version()).orElse(-1L)),
						Field.of("error", answer.error().map((error) -> error.message()).orElse("none")));
				after.map(EvacuationAnswer::orders).ifPresent(this::update);
				return accepted;
			}, this.loop);
	}

	CompletableFuture<Optional<EvacuationOrders>> readNewest() {
		return this.leader.get()
			.read(new LedgerCommand(EvacuationLedger.NAME, Bytes.EMPTY))
			.thenApplyAsync((answer) -> {
				// A leader of a version without this ledger cannot have stored any order.
				boolean unsupported = answer.error().filter((error) -> error.code() == ErrorCode.NOT_FOUND).isPresent();
				Optional<EvacuationOrders> newest = unsupported ? Optional.of(EvacuationOrders.NONE)
						: answer.value().flatMap(EvacuationCodec::decodeAnswer).map(EvacuationAnswer::orders);
				newest.ifPresent(this::update);
				return newest;
			}, this.loop);
	}

	/**
	 * Applies orders if they are newer.
	 * @param newer the orders
	 */
	void update(EvacuationOrders newer) {
		if (newer.replaces(this.orders)) {
			long now = System.nanoTime();
			this.orders = newer;
			this.recent.addLast(new KnownVersion(newer.version(), now));
			discardBefore(now - ACCEPT_TIME.toNanos());
			LOG.info("evacuation-learnt", Field.of("version", newer.version()), Field.of("domains", newer.domains()));
			this.listener.accept(newer);
		}
	}

	void applyUpdate(FleetNews update) {
		if (update.getEvacuationVersion() > this.orders.version()) {
			update(new EvacuationOrders(update.getEvacuationVersion(), Set.copyOf(update.getEvacuatedDomainsList())));
		}
	}

	void encode(FleetNews.Builder update) {
		if (this.orders.version() > 0) {
			update.setEvacuationVersion(this.orders.version()).addAllEvacuatedDomains(this.orders.domains());
		}
	}

	private record KnownVersion(long version, long learntAt) {
	}

}
