package org.comfreywall.bench.control;

import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.runtime.ControlNode;
import org.comfreywall.control.state.ClaimCommandCodec;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.ReplicatedClaims;

/**
 * Closed-loop load that keeps a fixed number of claims in flight and measures the latency
 * of each from proposal to answer.
 */
final class CommitLoad {

	private static final long MAX_LATENCY_NANOS = 60_000_000_000L;

	private static final String BODY_DIGEST = Bytes.ofText("body").sha256();

	private final ControlNode leader;

	private final int inFlight;

	private final Semaphore permits;

	private final Histogram latency = new ConcurrentHistogram(MAX_LATENCY_NANOS, 3);

	private final AtomicLong failed = new AtomicLong();

	private long lastClaimNumber;

	CommitLoad(ControlNode leader, int inFlight) {
		this.leader = leader;
		this.inFlight = inFlight;
		this.permits = new Semaphore(inFlight);
	}

	CommitLoadResult run(long count) throws InterruptedException {
		this.latency.reset();
		this.failed.set(0);
		long start = System.nanoTime();
		for (long i = 0; i < count; i++) {
			this.permits.acquire();
			propose();
		}
		this.permits.acquire(this.inFlight);
		long elapsed = System.nanoTime() - start;
		this.permits.release(this.inFlight);
		return new CommitLoadResult(count, elapsed, this.latency.copy(), this.failed.get());
	}

	private void propose() {
		Bytes command = nextCommand();
		long proposedAt = System.nanoTime();
		this.leader.propose(command).thenAccept((result) -> recordAnswer(proposedAt, result));
	}

	private Bytes nextCommand() {
		this.lastClaimNumber++;
		ClaimKey key = new ClaimKey(AccountId.of("account-17"), ServiceId.of("booking"),
				IdempotencyKey.of("0d7f2c1e-8a55-4f0e-9d7c-" + this.lastClaimNumber));
		ClaimRunning claim = new ClaimRunning(RequestId.of("request-" + this.lastClaimNumber),
				BackendServerId.of("booking-3"), Incarnation.of(7));
		return new LedgerCommand(ReplicatedClaims.NAME, ClaimCommandCodec.claim(key, BODY_DIGEST, claim)).encode();
	}

	private void recordAnswer(long proposedAt, Result<Bytes> result) {
		this.latency.recordValue(Math.min(MAX_LATENCY_NANOS, System.nanoTime() - proposedAt));
		if (result.value().isEmpty()) {
			this.failed.incrementAndGet();
		}
		this.permits.release();
	}

}
