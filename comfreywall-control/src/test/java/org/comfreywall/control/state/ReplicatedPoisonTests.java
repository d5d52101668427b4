package org.comfreywall.control.state;

import java.util.List;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.CrashEvidence;
import org.comfreywall.common.poison.CrashReport;
import org.comfreywall.common.poison.Fingerprint;
import org.comfreywall.common.poison.IsolationEnd;
import org.comfreywall.common.poison.IsolationResult;
import org.comfreywall.common.poison.PoisonVerdict;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.ledger.PoisonLedgerSettings;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicatedPoison}.
 */
class ReplicatedPoisonTests {

	private static final Fingerprint SUSPECT = new Fingerprint(AccountId.of("farm"), ServiceId.of("drafting"), "d1");

	private static final RequestId OWNER = RequestId.of("r1");

	private static final LogTime LATER = LogTime.ZERO
		.plus(PoisonLedgerSettings.DEFAULT.settleTime().plus(PoisonLedgerSettings.DEFAULT.settleTime()));

	private final ReplicatedPoison ledger = new ReplicatedPoison(PoisonLedgerSettings.DEFAULT, DecisionListener.NONE);

	private void crash(int number) {
		this.ledger.apply(LogTime.ZERO, PoisonCommandCodec.recordCrash(new CrashReport(CrashEvidence.BACKEND_CRASHED,
				BackendServerId.of("b1"), Incarnation.of(1), number, List.of(SUSPECT), false)));
	}

	private static PoisonVerdict verdict(ReplicatedPoison poison) {
		return PoisonAnswerCodec.decodeVerdict(poison.query(PoisonCommandCodec.assess(SUSPECT))).value().orElseThrow();
	}

	private IsolationResult acquire() {
		return PoisonAnswerCodec.decodeIsolation(this.ledger.apply(LATER, PoisonCommandCodec.acquire(SUSPECT, OWNER)))
			.value()
			.orElseThrow();
	}

	@Test
	void quarantinesAfterSecondCrash() {
		crash(1);
		assertThat(verdict(this.ledger)).isEqualTo(PoisonVerdict.SUSPECT);
		crash(2);
		assertThat(verdict(this.ledger)).isEqualTo(PoisonVerdict.QUARANTINED);
	}

	@Test
	void clearsSuspectThatSurvivesIsolatedRun() {
		crash(1);
		assertThat(acquire()).isEqualTo(IsolationResult.GRANTED);
		this.ledger.apply(LATER, PoisonCommandCodec.release(SUSPECT, OWNER, IsolationEnd.SURVIVED));
		assertThat(verdict(this.ledger)).isEqualTo(PoisonVerdict.CLEAR);
	}

	@Test
	void removesFingerprintOnOperatorCommand() {
		crash(1);
		Bytes answer = this.ledger.apply(LATER, PoisonCommandCodec.clear(SUSPECT));
		assertThat(PoisonAnswerCodec.decodeCleared(answer).value()).contains(true);
		assertThat(verdict(this.ledger)).isEqualTo(PoisonVerdict.CLEAR);
	}

	@Test
	void keepsVerdictsAndIsolationSlotInSnapshots() {
		crash(1);
		acquire();
		ReplicatedPoison restored = new ReplicatedPoison(PoisonLedgerSettings.DEFAULT, DecisionListener.NONE);
		restored.restore(this.ledger.snapshot());
		assertThat(verdict(restored)).isEqualTo(PoisonVerdict.SUSPECT);
		assertThat(restored.snapshot()).isEqualTo(this.ledger.snapshot());
	}

	@Test
	void answersMalformedCommands() {
		Bytes answer = this.ledger.apply(LogTime.ZERO, Bytes.of(new byte[] { 1 }));
		assertThat(PoisonAnswerCodec.decodeCleared(answer).error()).isPresent();
	}

}
