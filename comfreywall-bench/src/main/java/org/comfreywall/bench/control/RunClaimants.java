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
 * Callers that send the same requests again through several entries at a time.
 */
final class RunClaimants {

	private static final long INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

	private static final int SENDS_A_KEY = 12;

	private static final int KEYS_AT_A_TIME = 4;

	private static final double FINISHED_SHARE = 0.5;

	private final RunWorld world;

	private int sent;

	RunClaimants(RunWorld world) {
		this.world = world;
	}

	void start() {
		this.world.schedule().after(this.world.random().nextLong(INTERVAL_NANOS), () -> {
			claim();
			start();
		});
	}

	private void claim() {
		this.sent++;
		int number = this.sent / SENDS_A_KEY + this.world.random().nextInt(KEYS_AT_A_TIME);
		ClaimKey key = new ClaimKey(AccountId.of("farm"), ServiceId.of("booking"), IdempotencyKey.of("key-" + number));
		RequestId owner = RequestId.of("request-" + this.sent);
		ClaimRunning claim = new ClaimRunning(owner, BackendServerId.of("b1"), Incarnation.of(1));
		submit(ClaimCommandCodec.claim(key, "digest", claim), (answer) -> answered(key, owner, answer));
	}

	private void answered(ClaimKey key, RequestId owner, Bytes answer) {
		boolean granted = ClaimAnswerCodec.decodeResult(answer).value().orElseThrow() instanceof ClaimGranted;
		if (!granted) {
			return;
		}
		this.world.checker().granted(key, owner);
		if (this.world.random().nextDouble() < FINISHED_SHARE) {
			RecordedAnswer recorded = new RecordedAnswer(200, "text/plain", Bytes.ofText("booked"));
			submit(ClaimCommandCodec.recordAnswer(key, owner, recorded), (finished) -> checkFinished(key, finished));
		}
	}

	private void checkFinished(ClaimKey key, Bytes answer) {
		boolean recorded = ClaimAnswerCodec.decodeState(answer).value().isPresent();
		this.world.checker().check(recorded, "a granted claim stays with its owner", key);
	}

	private void submit(Bytes command, Consumer<Bytes> onAnswer) {
		this.world.anyLeader().propose(new LedgerCommand(ReplicatedClaims.NAME, command).encode(), onAnswer);
	}

}
