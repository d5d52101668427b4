package org.comfreywall.entry.request;

import java.time.Duration;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.Fingerprint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FlightGuard}.
 */
class FlightGuardTests {

	private static final Fingerprint BODY = fingerprint("body");

	private static final RequestId FIRST = RequestId.of("first");

	private static final RequestId SECOND = RequestId.of("second");

	private final FlightGuard guard = new FlightGuard(
			new FlightGuardSettings(Duration.ofNanos(10), Duration.ofNanos(100), 2));

	@Test
	void holdsBackOthersDuringFirstRun() {
		assertThat(ask(FIRST, 0)).isEqualTo(FlightPermit.GO);
		assertThat(ask(SECOND, 1)).isEqualTo(FlightPermit.WAIT);
		assertThat(ask(FIRST, 1)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void letsAnyNumberRunAfterOneSurvived() {
		ask(FIRST, 0);
		end(FIRST, FlightEnd.SURVIVED, 1);
		assertThat(ask(SECOND, 2)).isEqualTo(FlightPermit.GO);
		assertThat(ask(FIRST, 2)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void sendsRequestsToLedgerAfterLoss() {
		ask(FIRST, 0);
		end(FIRST, FlightEnd.LOST, 1);
		end(SECOND, FlightEnd.SURVIVED, 2);
		assertThat(ask(SECOND, 3)).isEqualTo(FlightPermit.SUSPECT);
	}

	@Test
	void letsNextRunAfterUndecidedEnd() {
		ask(FIRST, 0);
		end(SECOND, FlightEnd.UNDECIDED, 1);
		assertThat(ask(SECOND, 1)).isEqualTo(FlightPermit.WAIT);
		end(FIRST, FlightEnd.UNDECIDED, 1);
		assertThat(ask(SECOND, 2)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void waitsForLostEntryNoLongerThanFlightTime() {
		ask(FIRST, 0);
		assertThat(ask(SECOND, 10)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void forgetsOldestFingerprintWhenFull() {
		ask(FIRST, 0);
		this.guard.ask(fingerprint("a"), SECOND, 1);
		this.guard.ask(fingerprint("b"), SECOND, 1);
		assertThat(this.guard.size()).isEqualTo(2);
		assertThat(ask(SECOND, 2)).isEqualTo(FlightPermit.GO);
	}

	private FlightPermit ask(RequestId request, long now) {
		return this.guard.ask(BODY, request, now);
	}

	private void end(RequestId request, FlightEnd end, long now) {
		this.guard.end(BODY, request, end, now);
	}

	private static Fingerprint fingerprint(String digest) {
		return new Fingerprint(AccountId.of("farm"), ServiceId.of("letters"), digest);
	}

}
