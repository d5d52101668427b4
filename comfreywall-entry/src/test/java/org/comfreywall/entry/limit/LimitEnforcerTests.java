package org.comfreywall.entry.limit;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.config.AccountLimits;
import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.RequestId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.LeaseGrant;
import org.comfreywall.common.lease.LeaseRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LimitEnforcer}.
 */
class LimitEnforcerTests {

	private static final long MILLI = 1_000_000;

	private static final InstanceId ENTRY = InstanceId.of("entry-1");

	private static final AccountId ACCOUNT = AccountId.of("parish");

	private final Invariants invariants = new Invariants();

	private final LimitEnforcer enforcer = new LimitEnforcer(ENTRY, Incarnation.of(1), LimitSettings.DEFAULT,
			(account) -> account.equals(ACCOUNT) ? Optional.of(new AccountLimits(10, 1000, 4)) : Optional.empty(),
			DecisionListener.NONE, this.invariants);

	private static LimitRequest request(long tokens) {
		return new LimitRequest(RequestId.of("r"), ACCOUNT, tokens);
	}

	private Optional<LeaseRequest> asked(GrantorRole role, long now) {
		return this.enforcer.tick(now)
			.stream()
			.map((command) -> (SendAsk) command)
			.filter((ask) -> ask.grantor() == role)
			.map(SendAsk::request)
			.findFirst();
	}

	private LeaseGrant answer(LeaseRequest ask, long requests, long tokens, long slots) {
		return new LeaseGrant(Term.of(1), ENTRY, ask.incarnation(), ask.sequence(),
				List.of(new AccountGrant(ACCOUNT, requests, tokens, slots)));
	}

	@Test
	void refusesClientAccountWithoutLimits() {
		LimitRequest stranger = new LimitRequest(RequestId.of("r"), AccountId.of("stranger"), 1);
		assertThat(this.enforcer.offer(stranger, 0)).isInstanceOfSatisfying(LimitRefused.class,
				(refused) -> assertThat(refused.kind()).isEqualTo(LimitKind.NOT_CONFIGURED));
	}

	@Test
	void refusesRequestLargerThanTheBurst() {
		assertThat(this.enforcer.offer(request(5000), 0)).isInstanceOfSatisfying(LimitRefused.class,
				(refused) -> assertThat(refused.kind()).isEqualTo(LimitKind.REQUEST_SIZE));
	}

	@Test
	void asksForTheFirstRequestAndAdmitsItWhenGranted() {
		LimitPending pending = (LimitPending) this.enforcer.offer(request(100), 0);
		LeaseRequest ask = asked(GrantorRole.PRIMARY, 0).get();
		AccountDemand demand = ask.demands().get(0);
		assertThat(demand.requests()).isEqualTo(1);
		assertThat(demand.tokens()).isEqualTo(100);
		assertThat(demand.slots()).isEqualTo(1);
		assertThat(this.enforcer.granted(GrantorRole.PRIMARY, answer(ask, 1, 100, 1), MILLI)).containsExactly(ACCOUNT);
		assertThat(this.enforcer.offerAgain(request(100), pending.until(), MILLI)).isInstanceOf(LimitAdmitted.class);
	}

	@Test
	void refusesWhenNoGrantorAnswersInTime() {
		LimitPending pending = (LimitPending) this.enforcer.offer(request(0), 0);
		asked(GrantorRole.PRIMARY, 0);
		assertThat(this.enforcer.offerAgain(request(0), pending.until(), pending.until()))
			.isInstanceOf(LimitRefused.class);
	}

	@Test
	void asksTheReserveGrantorWhenThePrimaryIsSilent() {
		this.enforcer.offer(request(0), 0);
		assertThat(asked(GrantorRole.RESERVE, 0)).isEmpty();
		this.enforcer.offer(request(0), 1100 * MILLI);
		assertThat(asked(GrantorRole.RESERVE, 1100 * MILLI)).isPresent();
	}

	@Nested
	class Grants {

		private LeaseRequest ask;

		@BeforeEach
		void ask() {
			LimitEnforcerTests.this.enforcer.offer(request(0), 0);
			this.ask = asked(GrantorRole.PRIMARY, 0).get();
		}

		@Test
		void lapseBeforeTheGrantorsTerm() {
			LimitEnforcerTests.this.enforcer.granted(GrantorRole.PRIMARY, answer(this.ask, 5, 0, 4), MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), 990 * MILLI))
				.isInstanceOf(LimitAdmitted.class);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), 999 * MILLI))
				.isNotInstanceOf(LimitAdmitted.class);
		}

		@Test
		void areTakenOnceWhenDoubled() {
			LeaseGrant grant = answer(this.ask, 1, 0, 4);
			LimitEnforcerTests.this.enforcer.granted(GrantorRole.PRIMARY, grant, MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.granted(GrantorRole.PRIMARY, grant, MILLI)).isEmpty();
			LimitEnforcerTests.this.enforcer.offer(request(0), MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), MILLI)).isNotInstanceOf(LimitAdmitted.class);
		}

		@Test
		void ofAnEarlierLifeAreIgnored() {
			LeaseGrant grant = new LeaseGrant(Term.of(1), ENTRY, Incarnation.ZERO, this.ask.sequence(),
					List.of(new AccountGrant(ACCOUNT, 1, 0, 1)));
			assertThat(LimitEnforcerTests.this.enforcer.granted(GrantorRole.PRIMARY, grant, MILLI)).isEmpty();
		}

		@Test
		void boundTheRequestsInFlight() {
			LimitEnforcerTests.this.enforcer.granted(GrantorRole.PRIMARY, answer(this.ask, 5, 0, 1), MILLI);
			LimitAdmitted admitted = (LimitAdmitted) LimitEnforcerTests.this.enforcer.offer(request(0), MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), MILLI)).isNotInstanceOf(LimitAdmitted.class);
			LimitEnforcerTests.this.enforcer.finished(admitted.permit(), 0, MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), MILLI)).isInstanceOf(LimitAdmitted.class);
		}

		@Test
		void areRefundedForTokensNotGenerated() {
			LimitEnforcerTests.this.enforcer.granted(GrantorRole.PRIMARY, answer(this.ask, 1, 500, 1), MILLI);
			LimitAdmitted admitted = (LimitAdmitted) LimitEnforcerTests.this.enforcer.offer(request(500), MILLI);
			LimitEnforcerTests.this.enforcer.finished(admitted.permit(), 120, 2 * MILLI);
			LeaseRequest next = asked(GrantorRole.PRIMARY, 400 * MILLI).get();
			assertThat(next.demands().get(0).refundedTokens()).isEqualTo(380);
		}

		@Test
		void areGivenUpWhenIdle() {
			LimitEnforcerTests.this.enforcer.granted(GrantorRole.PRIMARY, answer(this.ask, 1, 0, 4), MILLI);
			LeaseRequest last = asked(GrantorRole.PRIMARY, 2000 * MILLI).get();
			assertThat(last.demands().get(0).heldSlots()).isZero();
			assertThat(LimitEnforcerTests.this.enforcer.accountsInUse()).isZero();
		}

	}

}
