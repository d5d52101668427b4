package org.comfreywall.bench.control;

import java.time.Duration;
import java.util.function.Consumer;

import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.state.ClaimAnswerCodec;
import org.comfreywall.control.state.ClaimCommandCodec;
import org.comfreywall.control.state.LedgerCommand;
import org.comfreywall.control.state.ReplicatedClaims;

/**
 * Clients that claim the same idempotency keys several times at once, as entries do when
 * a caller resends a request through more than one of them.
 */
final class ClaimClients {

	private static final long MAX_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

	private static final int CLAIMS_PER_KEY = 12;

	private static final int CONCURRENT_KEYS = 4;

	private static final double RECORDED_ANSWER_SHARE = 0.5;

	private final SimulatedCluster cluster;

	private int claimsSent;

	ClaimClients(SimulatedCluster cluster) {
		this.cluster = cluster;
	}

	void start() {
		this.cluster.schedule().after(this.cluster.random().nextLong(MAX_INTERVAL_NANOS), () -> {
			claim();
			start();
		});
	}

	private void claim() {
		this.claimsSent++;
		int number = this.claimsSent / CLAIMS_PER_KEY + this.cluster.random().nextInt(CONCURRENT_KEYS);
		ClaimKey key = new ClaimKey(AccountId.of("farm"), ServiceId.of("booking"), IdempotencyKey.of("key-" + number));
		RequestId owner = RequestId.of("request-" + this.claimsSent);
		ClaimRunning claim = new ClaimRunning(owner, BackendServerId.of("b1"), Incarnation.of(1));
		submit(ClaimCommandCodec.claim(key, "digest", claim), (answer) -> handleClaimAnswer(key, owner, answer));
	}

	private void handleClaimAnswer(ClaimKey key, RequestId owner, Bytes answer) {
		boolean granted = ClaimAnswerCodec.decodeResult(answer).value().orElseThrow() instanceof ClaimGranted;
		if (!granted) {
			return;
		}
		this.cluster.checker().checkClaimGrant(key, owner);
		if (this.cluster.random().nextDouble() < RECORDED_ANSWER_SHARE) {
			RecordedAnswer recorded = new RecordedAnswer(200, "text/plain", Bytes.ofText("booked"));
			submit(ClaimCommandCodec.recordAnswer(key, owner, recorded), (result) -> checkAnswerRecorded(key, result));
		}
	}

	private void checkAnswerRecorded(ClaimKey key, Bytes answer) {
		boolean recorded = ClaimAnswerCodec.decodeState(answer).value().isPresent();
		this.cluster.checker().check(recorded, "a granted claim stays with its owner", key);
	}

	private void submit(Bytes command, Consumer<Bytes> onAnswer) {
		this.cluster.randomLeader().propose(new LedgerCommand(ReplicatedClaims.NAME, command).encode(), onAnswer);
	}

}
