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

	private Optional<LeaseRequest> leaseRequest(GrantorRole role, long now) {
		return this.enforcer.tick(now)
			.stream()
			.map((command) -> (SendLeaseRequest) command)
			.filter((command) -> command.grantor() == role)
			.map(SendLeaseRequest::request)
			.findFirst();
	}

	private LeaseGrant answer(LeaseRequest request, long requests, long tokens, long slots) {
		return new LeaseGrant(Term.of(1), ENTRY, request.incarnation(), request.sequence(),
				List.of(new AccountGrant(ACCOUNT, requests, tokens, slots)));
	}

	@Test
	void refusesClientAccountWithoutLimits() {
		LimitRequest unknownAccount = new LimitRequest(RequestId.of("r"), AccountId.of("unknown"), 1);
		assertThat(this.enforcer.offer(unknownAccount, 0)).isInstanceOfSatisfying(LimitRefused.class,
				(refused) -> assertThat(refused.kind()).isEqualTo(LimitKind.NOT_CONFIGURED));
	}

	@Test
	void refusesRequestLargerThanTheBurst() {
		assertThat(this.enforcer.offer(request(5000), 0)).isInstanceOfSatisfying(LimitRefused.class,
				(refused) -> assertThat(refused.kind()).isEqualTo(LimitKind.REQUEST_SIZE));
	}

	@Test
	void requestsShareForFirstRequestAndAdmitsItOnceGranted() {
		LimitPending pending = (LimitPending) this.enforcer.offer(request(100), 0);
		LeaseRequest sent = leaseRequest(GrantorRole.PRIMARY, 0).get();
		AccountDemand demand = sent.demands().get(0);
		assertThat(demand.requests()).isEqualTo(1);
		assertThat(demand.tokens()).isEqualTo(100);
		assertThat(demand.slots()).isEqualTo(1);
		assertThat(this.enforcer.handleGrant(GrantorRole.PRIMARY, answer(sent, 1, 100, 1), MILLI))
			.containsExactly(ACCOUNT);
		assertThat(this.enforcer.offerAgain(request(100), pending.waitUntil(), MILLI))
			.isInstanceOf(LimitAdmitted.class);
	}

	@Test
	void countsARequestThatIsOfferedAgainOnceInItsDemand() {
		LimitPending pending = (LimitPending) this.enforcer.offer(request(100), 0);
		for (int i = 1; i < 10; i++) {
			this.enforcer.offerAgain(request(100), pending.waitUntil(), i);
		}
		AccountDemand demand = leaseRequest(GrantorRole.PRIMARY, 10).get().demands().get(0);
		assertThat(demand.requests()).isEqualTo(1);
		assertThat(demand.slots()).isEqualTo(1);
	}

	@Test
	void refusesRequestWhenNoGrantorRespondsInTime() {
		LimitPending pending = (LimitPending) this.enforcer.offer(request(0), 0);
		leaseRequest(GrantorRole.PRIMARY, 0);
		assertThat(this.enforcer.offerAgain(request(0), pending.waitUntil(), pending.waitUntil()))
			.isInstanceOf(LimitRefused.class);
	}

	@Test
	void requestsShareFromReserveGrantorWhenPrimaryIsSilent() {
		this.enforcer.offer(request(0), 0);
		assertThat(leaseRequest(GrantorRole.RESERVE, 0)).isEmpty();
		this.enforcer.offer(request(0), 1100 * MILLI);
		assertThat(leaseRequest(GrantorRole.RESERVE, 1100 * MILLI)).isPresent();
	}

	@Nested
	class Grants {

		private LeaseRequest sent;

		@BeforeEach
		void requestShares() {
			LimitEnforcerTests.this.enforcer.offer(request(0), 0);
			this.sent = leaseRequest(GrantorRole.PRIMARY, 0).get();
		}

		@Test
		void expireBeforeGrantorsTerm() {
			LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, answer(this.sent, 5, 0, 4), MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), 990 * MILLI))
				.isInstanceOf(LimitAdmitted.class);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), 999 * MILLI))
				.isNotInstanceOf(LimitAdmitted.class);
		}

		@Test
		void ofSlotsExpireCountedFromSendingTheLeaseRequest() {
			LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, answer(this.sent, 0, 0, 4), 2900 * MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.slots(ACCOUNT, 2990 * MILLI)).isEqualTo(4);
			assertThat(LimitEnforcerTests.this.enforcer.slots(ACCOUNT, 2999 * MILLI)).isZero();
		}

		@Test
		void ofSlotsAreIgnoredWhenTheyArriveAfterTheirTerm() {
			LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, answer(this.sent, 0, 0, 4), 3000 * MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.slots(ACCOUNT, 3000 * MILLI)).isZero();
		}

		@Test
		void areAppliedOnceWhenDuplicated() {
			LeaseGrant grant = answer(this.sent, 1, 0, 4);
			LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, grant, MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, grant, MILLI)).isEmpty();
			LimitEnforcerTests.this.enforcer.offer(request(0), MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), MILLI)).isNotInstanceOf(LimitAdmitted.class);
		}

		@Test
		void ofEarlierIncarnationAreIgnored() {
			LeaseGrant grant = new LeaseGrant(Term.of(1), ENTRY, Incarnation.ZERO, this.sent.sequence(),
					List.of(new AccountGrant(ACCOUNT, 1, 0, 1)));
			assertThat(LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, grant, MILLI)).isEmpty();
		}

		@Test
		void boundTheRequestsInFlight() {
			LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, answer(this.sent, 5, 0, 1), MILLI);
			LimitAdmitted admitted = (LimitAdmitted) LimitEnforcerTests.this.enforcer.offer(request(0), MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), MILLI)).isNotInstanceOf(LimitAdmitted.class);
			LimitEnforcerTests.this.enforcer.returnPermit(admitted.permit(), 0, MILLI);
			assertThat(LimitEnforcerTests.this.enforcer.offer(request(0), MILLI)).isInstanceOf(LimitAdmitted.class);
		}

		@Test
		void areRefundedForTokensNotGenerated() {
			LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, answer(this.sent, 1, 500, 1), MILLI);
			LimitAdmitted admitted = (LimitAdmitted) LimitEnforcerTests.this.enforcer.offer(request(500), MILLI);
			LimitEnforcerTests.this.enforcer.returnPermit(admitted.permit(), 120, 2 * MILLI);
			LeaseRequest next = leaseRequest(GrantorRole.PRIMARY, 400 * MILLI).get();
			assertThat(next.demands().get(0).refundedTokens()).isEqualTo(380);
		}

		@Test
		void areReturnedWhenIdle() {
			LimitEnforcerTests.this.enforcer.handleGrant(GrantorRole.PRIMARY, answer(this.sent, 1, 0, 4), MILLI);
			LeaseRequest last = leaseRequest(GrantorRole.PRIMARY, 2000 * MILLI).get();
			assertThat(last.demands().get(0).heldSlots()).isZero();
			assertThat(LimitEnforcerTests.this.enforcer.accountsInUse()).isZero();
		}

	}

}
