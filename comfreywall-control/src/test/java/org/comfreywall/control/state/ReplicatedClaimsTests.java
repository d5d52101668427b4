package org.comfreywall.control.state;

import java.time.Duration;
import java.util.Optional;

import org.comfreywall.common.claim.ClaimCompleted;
import org.comfreywall.common.claim.ClaimFound;
import org.comfreywall.common.claim.ClaimGranted;
import org.comfreywall.common.claim.ClaimKey;
import org.comfreywall.common.claim.ClaimMismatch;
import org.comfreywall.common.claim.ClaimResult;
import org.comfreywall.common.claim.ClaimRunning;
import org.comfreywall.common.claim.ClaimState;
import org.comfreywall.common.claim.ClaimUnknown;
import org.comfreywall.common.claim.NotRunEvidence;
import org.comfreywall.common.claim.NotRunProof;
import org.comfreywall.common.claim.RecordedAnswer;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.IdempotencyKey;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.ledger.ClaimLedgerSettings;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicatedClaims}.
 */
class ReplicatedClaimsTests {

	private static final ClaimKey KEY = new ClaimKey(AccountId.of("farm"), ServiceId.of("booking"),
			IdempotencyKey.of("k"));

	private static final ClaimRunning FIRST = claim("r1");

	private static final RecordedAnswer ANSWER = new RecordedAnswer(201, "text/plain", Bytes.ofText("booked"));

	private final ReplicatedClaims ledger = new ReplicatedClaims(ClaimLedgerSettings.DEFAULT);

	private static ClaimRunning claim(String owner) {
		return new ClaimRunning(RequestId.of(owner), BackendServerId.of("b1"), Incarnation.of(3));
	}

	private ClaimResult claim(LogTime time, String digest, ClaimRunning claim) {
		Bytes answer = this.ledger.apply(time, ClaimCommandCodec.claim(KEY, digest, claim));
		return ClaimAnswerCodec.decodeResult(answer).value().orElseThrow();
	}

	private Optional<ClaimState> lookup(ReplicatedClaims claims) {
		return ClaimAnswerCodec.decodeLookup(claims.query(ClaimCommandCodec.lookup(KEY))).value().orElseThrow();
	}

	@Test
	void grantsKeyOnce() {
		assertThat(claim(LogTime.ZERO, "d", FIRST)).isEqualTo(new ClaimGranted(FIRST));
		assertThat(claim(LogTime.ZERO, "d", claim("r2"))).isEqualTo(new ClaimFound(FIRST));
		assertThat(claim(LogTime.ZERO, "other", claim("r3"))).isEqualTo(new ClaimMismatch());
	}

	@Test
	void keepsAnswerInSnapshots() {
		claim(LogTime.ZERO, "d", FIRST);
		this.ledger.apply(LogTime.ZERO, ClaimCommandCodec.recordAnswer(KEY, FIRST.owner(), ANSWER));
		ReplicatedClaims restored = new ReplicatedClaims(ClaimLedgerSettings.DEFAULT);
		restored.restore(this.ledger.snapshot());
		assertThat(lookup(restored)).contains(new ClaimCompleted(FIRST.owner(), ANSWER));
		assertThat(restored.snapshot()).isEqualTo(this.ledger.snapshot());
	}

	@Test
	void marksClaimUnknown() {
		claim(LogTime.ZERO, "d", FIRST);
		this.ledger.apply(LogTime.ZERO, ClaimCommandCodec.markUnknown(KEY, FIRST.owner()));
		assertThat(lookup(this.ledger)).contains(new ClaimUnknown(FIRST.owner()));
	}

	@Test
	void releasesClaimWithProof() {
		claim(LogTime.ZERO, "d", FIRST);
		NotRunProof proof = new NotRunProof(NotRunEvidence.SEALED, FIRST.owner(), FIRST.backendServer(),
				FIRST.incarnation());
		Bytes answer = this.ledger.apply(LogTime.ZERO, ClaimCommandCodec.release(KEY, proof));
		assertThat(ClaimAnswerCodec.decodeState(answer).value()).contains(FIRST);
		assertThat(lookup(this.ledger)).isEmpty();
	}

	@Test
	void returnsErrorCodeOfRejectedCommand() {
		Bytes answer = this.ledger.apply(LogTime.ZERO, ClaimCommandCodec.markUnknown(KEY, FIRST.owner()));
		assertThat(ClaimAnswerCodec.decodeState(answer).error())
			.hasValueSatisfying((error) -> assertThat(error.code()).isEqualTo(ErrorCode.NOT_FOUND));
	}

	@Test
	void expiresByLogTimeOnly() {
		claim(LogTime.ZERO, "d", FIRST);
		LogTime later = LogTime.ZERO.plus(ClaimLedgerSettings.DEFAULT.retention().plus(Duration.ofSeconds(1)));
		assertThat(claim(later, "d", claim("r2"))).isEqualTo(new ClaimGranted(claim("r2")));
	}

	@Test
	void answersMalformedCommandsAndQueries() {
		Bytes malformed = Bytes.of(new byte[] { 1, 2, 3 });
		assertThat(ClaimAnswerCodec.decodeState(this.ledger.apply(LogTime.ZERO, malformed)).error()).isPresent();
		assertThat(ClaimAnswerCodec.decodeState(this.ledger.apply(LogTime.ZERO, Bytes.EMPTY)).error()).isPresent();
		assertThat(ClaimAnswerCodec.decodeLookup(this.ledger.query(malformed)).error()).isPresent();
	}

}
