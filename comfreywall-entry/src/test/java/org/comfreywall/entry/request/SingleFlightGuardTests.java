package org.comfreywall.entry.request;

import java.time.Duration;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.ServiceId;
import org.comfreywall.common.poison.Fingerprint;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SingleFlightGuard}.
 */
class SingleFlightGuardTests {

	private static final Fingerprint BODY = fingerprint("body");

	private static final RequestId FIRST = RequestId.of("first");

	private static final RequestId SECOND = RequestId.of("second");

	private final SingleFlightGuard guard = new SingleFlightGuard(
			new SingleFlightGuardSettings(Duration.ofNanos(10), Duration.ofNanos(100), 2), -10);

	@Test
	void blocksOtherRequestsDuringFirstRun() {
		assertThat(requestPermit(FIRST, 0)).isEqualTo(FlightPermit.GO);
		assertThat(requestPermit(SECOND, 1)).isEqualTo(FlightPermit.WAIT);
		assertThat(requestPermit(FIRST, 1)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void permitsAllRequestsAfterOneRunCompleted() {
		requestPermit(FIRST, 0);
		recordEnd(FIRST, FlightEnd.SURVIVED, 1);
		assertThat(requestPermit(SECOND, 2)).isEqualTo(FlightPermit.GO);
		assertThat(requestPermit(FIRST, 2)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void refersRequestsToLedgerAfterCrash() {
		requestPermit(FIRST, 0);
		recordEnd(FIRST, FlightEnd.LOST, 1);
		recordEnd(SECOND, FlightEnd.SURVIVED, 2);
		assertThat(requestPermit(SECOND, 3)).isEqualTo(FlightPermit.SUSPECT);
	}

	@Test
	void permitsOneRequestAfterLedgerClearedTheFingerprint() {
		requestPermit(FIRST, 0);
		recordEnd(FIRST, FlightEnd.LOST, 1);
		assertThat(this.guard.requestPermit(BODY, SECOND, true, 2)).isEqualTo(FlightPermit.SUSPECT);
		assertThat(this.guard.requestPermit(BODY, SECOND, true, 2)).isEqualTo(FlightPermit.GO);
		assertThat(this.guard.requestPermit(BODY, FIRST, true, 2)).isEqualTo(FlightPermit.WAIT);
	}

	@Test
	void refersUnknownFingerprintsToLedgerAfterStartup() {
		SingleFlightGuard started = new SingleFlightGuard(
				new SingleFlightGuardSettings(Duration.ofNanos(10), Duration.ofNanos(100), 2), 0);
		assertThat(started.requestPermit(BODY, FIRST, false, 9)).isEqualTo(FlightPermit.SUSPECT);
		assertThat(started.requestPermit(BODY, FIRST, true, 9)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void permitsNextRunAfterUndecidedEnd() {
		requestPermit(FIRST, 0);
		recordEnd(SECOND, FlightEnd.UNDECIDED, 1);
		assertThat(requestPermit(SECOND, 1)).isEqualTo(FlightPermit.WAIT);
		recordEnd(FIRST, FlightEnd.UNDECIDED, 1);
		assertThat(requestPermit(SECOND, 2)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void permitsNextRunOnceFlightTimeHasElapsed() {
		requestPermit(FIRST, 0);
		assertThat(requestPermit(SECOND, 10)).isEqualTo(FlightPermit.GO);
	}

	@Test
	void evictsOldestFingerprintWhenFull() {
		requestPermit(FIRST, 0);
		this.guard.requestPermit(fingerprint("a"), SECOND, false, 1);
		this.guard.requestPermit(fingerprint("b"), SECOND, false, 1);
		assertThat(this.guard.size()).isEqualTo(2);
		assertThat(requestPermit(SECOND, 2)).isEqualTo(FlightPermit.GO);
	}

	private FlightPermit requestPermit(RequestId request, long now) {
		return this.guard.requestPermit(BODY, request, false, now);
	}

	private void recordEnd(RequestId request, FlightEnd end, long now) {
		this.guard.recordEnd(BODY, request, end, now);
	}

	private static Fingerprint fingerprint(String digest) {
		return new Fingerprint(AccountId.of("farm"), ServiceId.of("letters"), digest);
	}

}
