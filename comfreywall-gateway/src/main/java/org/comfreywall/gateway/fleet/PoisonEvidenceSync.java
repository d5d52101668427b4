package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.comfreywall.common.decision.Field;
import org.comfreywall.common.log.EventLog;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.OperationError;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.result.Step;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.gateway.poison.PoisonEvidence;
import org.comfreywall.gateway.poison.PoisonEvidenceCodec;
import org.comfreywall.gateway.poison.PoisonEvidenceLedger;
import org.comfreywall.gateway.poison.StoredPoisonEvidence;

/**
 * Reads the stored evidence against requests that crash backend servers when this process
 * starts, and stores what this process observes.
 * <p>
 * Requests never wait for that: what cannot be stored for the moment is proposed again
 * later. Confined to the event loop.
 */
final class PoisonEvidenceSync {

	private static final EventLog LOG = EventLog.of(PoisonEvidenceSync.class);

	/** A disk may stall for much longer. A proposal may be repeated, it is idempotent. */
	private static final Duration PROPOSAL_TIMEOUT = Duration.ofMillis(900);

	private static final Result<Bytes> TIMED_OUT = Result.failure(OperationError.local(ErrorCode.DEADLINE_EXCEEDED,
			Step.REPLICATE, "a majority of the voters did not confirm the evidence in time"));

	private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(200);

	/** Each write that fails on a full disk costs its process the leadership. */
	private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

	/**
	 * A new leader takes the log time of the last entry, so in this time at least one
	 * entry is written during a probation. The known log time is renewed as often.
	 */
	private static final Duration LOG_TIME_INTERVAL = Duration.ofSeconds(10);

	private final Executor loop;

	private final Supplier<LeaderClient> leader;

	private final BooleanSupplier supported;

	private final FleetListener listener;

	/** The log time when this process's clock is 0, in nanoseconds. */
	private long logTimeOffset;

	/** When the last command was answered, on this process's clock in nanoseconds. */
	private OptionalLong answeredAt = OptionalLong.empty();

	private boolean read;

	private boolean proposing;

	private OptionalLong retryAt = OptionalLong.empty();

	private Duration retryDelay = MIN_RETRY_DELAY;

	/**
	 * Creates a synchronisation that has read nothing.
	 * @param loop the event loop
	 * @param leader returns the client of the current leader
	 * @param supported returns whether all replicas have the ledger
	 * @param listener has the evidence of this process
	 */
	PoisonEvidenceSync(Executor loop, Supplier<LeaderClient> leader, BooleanSupplier supported,
			FleetListener listener) {
		this.loop = loop;
		this.leader = leader;
		this.supported = supported;
		this.listener = listener;
	}

	/**
	 * Reads the stored evidence until that has succeeded once, then stores new evidence.
	 * @param leads whether this process is the leader, which keeps the log time moving
	 */
	void tick(boolean leads) {
		boolean waiting = this.retryAt.isPresent() && System.nanoTime() - this.retryAt.getAsLong() < 0;
		if (this.proposing || waiting || !this.supported.getAsBoolean()) {
			return;
		}
		if (!this.read) {
			await(readNewest());
			return;
		}
		PoisonEvidence unstored = this.listener.takeUnstoredPoisonEvidence();
		if (!unstored.isEmpty()) {
			await(renewLogTime().thenCompose((renewed) -> renewed ? store(unstored) : reportStored(unstored, false)));
		}
		else if (leads && this.listener.isPoisonProbationRunning()) {
			await(renewLogTime());
		}
	}

	private CompletableFuture<Boolean> renewLogTime() {
		boolean recent = this.answeredAt.isPresent()
				&& System.nanoTime() - this.answeredAt.getAsLong() < LOG_TIME_INTERVAL.toNanos();
		return recent ? CompletableFuture.completedFuture(true) : propose(PoisonEvidenceCodec.advanceTime());
	}

	private void await(CompletableFuture<Boolean> proposal) {
		this.proposing = true;
		proposal.whenCompleteAsync((done, failure) -> this.proposing = false, this.loop);
	}

	/**
	 * Reads the stored evidence, unless that has been done. It includes all that was
	 * stored before the call.
	 * @return completes with {@code true} once the listener has received it;
	 * {@code false} if the leader did not confirm the read
	 */
	CompletableFuture<Boolean> readNewest() {
		if (this.read) {
			return CompletableFuture.completedFuture(true);
		}
		return this.leader.get()
			.read(new LedgerCommand(PoisonEvidenceLedger.NAME, Bytes.EMPTY))
			.completeOnTimeout(TIMED_OUT, PROPOSAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenApplyAsync((answer) -> {
				// A leader of a version without this ledger cannot have stored any.
				boolean unsupported = answer.error().filter((error) -> error.code() == ErrorCode.NOT_FOUND).isPresent();
				Optional<StoredPoisonEvidence> stored = answer.value().flatMap(PoisonEvidenceCodec::decodeAnswer);
				stored.filter((found) -> !this.read).ifPresent(this::onRead);
				return unsupported || stored.isPresent();
			}, this.loop);
	}

	private void onRead(StoredPoisonEvidence stored) {
		this.read = true;
		LOG.info("poison-evidence-read", Field.of("charges", stored.evidence().charges().size()),
				Field.of("unconfirmed", stored.evidence().unconfirmed().size()),
				Field.of("log-time-ms", stored.logTimeMillis()));
		this.listener.onPoisonEvidence(stored.since(System.nanoTime()));
	}

	private CompletableFuture<Boolean> store(PoisonEvidence unstored) {
		long logTimeMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() + this.logTimeOffset));
		Bytes command = PoisonEvidenceCodec.store(unstored.plus(this.logTimeOffset), logTimeMillis);
		return propose(command).thenCompose((stored) -> reportStored(unstored, stored));
	}

	private CompletableFuture<Boolean> reportStored(PoisonEvidence unstored, boolean stored) {
		LOG.info("poison-evidence-proposed", Field.of("charges", unstored.charges().size()),
				Field.of("unconfirmed", unstored.unconfirmed().size()),
				Field.of("traits", unstored.begun().size() + unstored.completed().size()), Field.of("stored", stored));
		this.listener.onPoisonEvidenceProposed(unstored, stored);
		return CompletableFuture.completedFuture(stored);
	}

	private CompletableFuture<Boolean> propose(Bytes command) {
		return this.leader.get()
			.propose(new LedgerCommand(PoisonEvidenceLedger.NAME, command))
			.completeOnTimeout(TIMED_OUT, PROPOSAL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.thenApplyAsync((answer) -> {
				Optional<StoredPoisonEvidence> applied = answer.value().flatMap(PoisonEvidenceCodec::decodeAnswer);
				applied.ifPresentOrElse(this::onApplied,
						() -> delayRetry(answer.error().map((error) -> error.message()).orElse("malformed answer")));
				return applied.isPresent();
			}, this.loop);
	}

	private void onApplied(StoredPoisonEvidence applied) {
		long now = System.nanoTime();
		this.answeredAt = OptionalLong.of(now);
		this.logTimeOffset = TimeUnit.MILLISECONDS.toNanos(applied.logTimeMillis()) - now;
		this.retryAt = OptionalLong.empty();
		this.retryDelay = MIN_RETRY_DELAY;
	}

	private void delayRetry(String error) {
		LOG.warn("poison-evidence-not-stored", Field.of("error", error),
				Field.of("retry-after-ms", this.retryDelay.toMillis()));
		this.retryAt = OptionalLong.of(System.nanoTime() + this.retryDelay.toNanos());
		Duration doubled = this.retryDelay.multipliedBy(2);
		this.retryDelay = (doubled.compareTo(MAX_RETRY_DELAY) < 0) ? doubled : MAX_RETRY_DELAY;
	}

}
