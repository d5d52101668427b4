package org.comfreywall.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.result.Result;
import org.comfreywall.common.time.ManualClock;
import org.comfreywall.entry.limit.GrantorRole;
import org.comfreywall.transport.control.LeaseCodec;
import org.comfreywall.transport.generated.LeaseCall;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaseGrantor}.
 */
class LeaseGrantorTests {

	private final CountingPort port = new CountingPort();

	private final LeaseGrantor grantor = new LeaseGrantor((limits) -> new GrantorLimits(1, 1, 1),
			Optional.of(this.port), new ManualClock(), DecisionListener.NONE);

	@Test
	void keepsLedgerWhenLeaderLeaseExpiresWithinTerm() {
		this.grantor.updateTerm(Optional.of(Term.of(1)));
		assertThat(answers(1, Optional.empty())).isFalse();
		assertThat(answers(2, Optional.of(Term.of(1)))).isTrue();
		assertThat(this.port.loads).isEqualTo(1);
	}

	@Test
	void startsNewLedgerInNewTerm() {
		this.grantor.updateTerm(Optional.of(Term.of(1)));
		this.grantor.updateTerm(Optional.of(Term.of(2)));
		assertThat(answers(1, Optional.of(Term.of(2)))).isTrue();
		assertThat(this.port.loads).isEqualTo(2);
	}

	private boolean answers(long sequence, Optional<Term> granting) {
		LeaseCall call = LeaseCodec.encode(GrantorRole.PRIMARY,
				new LeaseRequest(InstanceId.of("entry-1"), Incarnation.of(1), sequence, Term.of(1), List.of()));
		return this.grantor.handleRequest(call, granting).toCompletableFuture().join().value().isPresent();
	}

	/**
	 * Counts the calls that read the reservations.
	 */
	private static final class CountingPort implements ReservationPort {

		private int loads;

		@Override
		public CompletionStage<Result<Map<AccountId, Long>>> load() {
			this.loads++;
			return CompletableFuture.completedFuture(Result.success(Map.of()));
		}

		@Override
		public CompletionStage<Boolean> reserve(AccountId account, long slots) {
			return CompletableFuture.completedFuture(true);
		}

	}

}
