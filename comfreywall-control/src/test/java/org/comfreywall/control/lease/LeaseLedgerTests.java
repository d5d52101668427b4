package org.comfreywall.control.lease;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.comfreywall.common.decision.DecisionListener;
import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.invariant.Invariants;
import org.comfreywall.common.lease.AccountDemand;
import org.comfreywall.common.lease.AccountGrant;
import org.comfreywall.common.lease.GrantorLimits;
import org.comfreywall.common.lease.LeaseRequest;
import org.comfreywall.common.lease.LeaseTerms;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaseLedger}.
 */
class LeaseLedgerTests {

	private static final long SECOND = 1_000_000_000;

	private static final AccountId ACCOUNT = AccountId.of("farm");

	private final LeaseTerms terms = new LeaseTerms(Duration.ofSeconds(1), Duration.ofSeconds(3),
			Duration.ofSeconds(10), Duration.ofSeconds(2), Duration.ofMillis(400), 0);

	private final LeaseLedger ledger = ledger(1, 0);

	private long sequence;

	private LeaseLedger ledger(long term, long now) {
		LeaseLedger result = LeaseLedger.create(Term.of(term), this.terms, now, DecisionListener.NONE,
				new Invariants());
		result.handle(new LimitsChanged(ACCOUNT, Optional.of(new GrantorLimits(10, 1000, 8))), now);
		return result;
	}

	private AccountDemand demand(long requests, long tokens, long slots) {
		return new AccountDemand(ACCOUNT, requests, tokens, 0, 0, slots, 0, Term.ZERO, 0, 0);
	}

	private AccountGrant request(LeaseLedger to, String holder, AccountDemand demand, long now) {
		this.sequence++;
		return send(to,
				new LeaseRequest(InstanceId.of(holder), Incarnation.of(1), this.sequence, Term.of(1), List.of(demand)),
				now)
			.get();
	}

	private Optional<AccountGrant> send(LeaseLedger to, LeaseRequest request, long now) {
		return to.handle(new LeaseRequested(request), now)
			.stream()
			.map((command) -> ((SendGrant) command).grant().grants().get(0))
			.findFirst();
	}

	@Nested
	class Rates {

		@Test
		void grantsNothingUntilEarlierGrantsHaveEnded() {
			assertThat(request(LeaseLedgerTests.this.ledger, "a", demand(1, 0, 0), SECOND).requests()).isZero();
		}

		@Test
		void grantsNoMoreThanTheBurst() {
			assertThat(request(LeaseLedgerTests.this.ledger, "a", demand(100, 0, 0), 60 * SECOND).requests())
				.isEqualTo(20);
		}

		@Test
		void countsUnexpiredGrantsAgainstTheBurst() {
			request(LeaseLedgerTests.this.ledger, "a", demand(20, 0, 0), 60 * SECOND);
			long later = 60 * SECOND + SECOND / 2;
			assertThat(request(LeaseLedgerTests.this.ledger, "a", demand(20, 0, 0), later).requests()).isZero();
			assertThat(LeaseLedgerTests.this.ledger.unexpiredRequests(ACCOUNT, later)).isEqualTo(20);
		}

		@Test
		void dividesByDemandUnderContention() {
			long now = 60 * SECOND;
			long[] granted = new long[2];
			for (int i = 0; i < 50; i++) {
				now += 400_000_000;
				granted[0] += request(LeaseLedgerTests.this.ledger, "a", demand(30, 0, 0), now).requests();
				granted[1] += request(LeaseLedgerTests.this.ledger, "b", demand(10, 0, 0), now).requests();
			}
			assertThat(granted[0] + granted[1]).isGreaterThan(190);
			assertThat(granted[1]).isBetween(40L, 70L);
		}

		@Test
		void servesHoldersInTurnWhenSharesAreBelowOneRequest() {
			long now = 60 * SECOND;
			long[] granted = new long[40];
			for (int i = 0; i < 100; i++) {
				now += 400_000_000;
				for (int j = 0; j < granted.length; j++) {
					granted[j] += request(LeaseLedgerTests.this.ledger, "holder-" + j, demand(1, 0, 0), now).requests();
				}
			}
			assertThat(granted).doesNotContain(0L, 1L, 2L, 3L, 4L);
		}

		@Test
		void countsRefundedTokensOnce() {
			long now = 60 * SECOND;
			request(LeaseLedgerTests.this.ledger, "a", demand(0, 2000, 0), now);
			now += 2 * SECOND;
			request(LeaseLedgerTests.this.ledger, "a", demand(0, 2000, 0), now);
			now += SECOND + SECOND / 4;
			AccountDemand refund = new AccountDemand(ACCOUNT, 0, 0, 0, 500, 0, 0, Term.ZERO, 0, 0);
			LeaseRequest request = new LeaseRequest(InstanceId.of("b"), Incarnation.of(1), 1, Term.of(1),
					List.of(refund));
			send(LeaseLedgerTests.this.ledger, request, now);
			assertThat(send(LeaseLedgerTests.this.ledger, request, now)).isEmpty();
			assertThat(request(LeaseLedgerTests.this.ledger, "a", demand(0, 5000, 0), now).tokens()).isBetween(500L,
					1800L);
		}

	}

	@Nested
	class Slots {

		@Test
		void reservesSlotsOfUnreachableHolderUntilItsRequestsHaveEnded() {
			long now = 60 * SECOND;
			assertThat(request(LeaseLedgerTests.this.ledger, "a", demand(0, 0, 8), now).slots()).isEqualTo(8);
			assertThat(request(LeaseLedgerTests.this.ledger, "b", demand(0, 0, 8), now + 12 * SECOND).slots()).isZero();
			assertThat(request(LeaseLedgerTests.this.ledger, "b", demand(0, 0, 8), now + 14 * SECOND).slots())
				.isEqualTo(8);
		}

		@Test
		void freesSlotsThatTheHolderReleased() {
			long now = 60 * SECOND;
			request(LeaseLedgerTests.this.ledger, "a", demand(0, 0, 8), now);
			AccountDemand released = new AccountDemand(ACCOUNT, 0, 0, 0, 0, 2, 2, Term.of(1), 1, 2);
			request(LeaseLedgerTests.this.ledger, "a", released, now + 1);
			assertThat(request(LeaseLedgerTests.this.ledger, "b", demand(0, 0, 8), now + 2).slots()).isEqualTo(6);
		}

		@Test
		void countsTheHigherGrantWhileTheLowerOneMayBeLost() {
			long now = 60 * SECOND;
			request(LeaseLedgerTests.this.ledger, "a", demand(0, 0, 8), now);
			request(LeaseLedgerTests.this.ledger, "a", demand(0, 0, 2), now + 1);
			assertThat(LeaseLedgerTests.this.ledger.committedSlots(ACCOUNT, now + 2)).isEqualTo(8);
		}

		@Test
		void letsHoldersOfAnEarlierTermKeepTheSlotsTheyReport() {
			LeaseLedger second = ledger(2, 100 * SECOND);
			AccountDemand held = new AccountDemand(ACCOUNT, 0, 0, 0, 0, 8, 5, Term.of(1), 3, 4);
			this.requestFromSecond(second, held);
			assertThat(request(second, "b", demand(0, 0, 8), 102 * SECOND).slots()).isZero();
			assertThat(request(second, "b", demand(0, 0, 8), 113 * SECOND + SECOND / 2).slots()).isEqualTo(3);
		}

		private void requestFromSecond(LeaseLedger second, AccountDemand held) {
			LeaseLedgerTests.this.sequence = 10;
			assertThat(request(second, "a", held, 101 * SECOND).slots()).isEqualTo(5);
		}

	}

	@Nested
	class Takeover {

		private LeaseLedger successor(long earlierSlots) {
			LeaseLedger result = LeaseLedger.create(Term.of(2), LeaseLedgerTests.this.terms, 0, DecisionListener.NONE,
					new Invariants());
			result.handle(new LimitsChanged(ACCOUNT, Optional.of(new GrantorLimits(10, 1000, 8)),
					OptionalLong.of(earlierSlots)), 0);
			return result;
		}

		@Test
		void holdsBackOnlySlotsReservedByEarlierGrantors() {
			assertThat(request(successor(2), "a", demand(0, 0, 8), 2 * SECOND).slots()).isEqualTo(6);
			assertThat(request(successor(8), "a", demand(0, 0, 8), 2 * SECOND).slots()).isZero();
		}

		@Test
		void countsSlotsReservedByEarlierGrantorsUntilTheyExpire() {
			LeaseLedger successor = successor(2);
			request(successor, "a", demand(0, 0, 3), 2 * SECOND);
			assertThat(successor.slotUse(ACCOUNT, 2 * SECOND).outstanding()).isEqualTo(5);
			assertThat(successor.slotUse(ACCOUNT, 14 * SECOND).outstanding()).isEqualTo(3);
		}

	}

	/**
	 * Leaders that follow one another within the time that a request may take. Each
	 * reserves slots for what its predecessors may have granted; the limit must not be
	 * used up by reservations alone.
	 */
	@Nested
	class SuccessiveTakeovers {

		private static final long LIMIT = 400;

		private static final int TAKEOVERS = 12;

		private static final long SLOTS_IN_USE = 20;

		private LeaseLedger grantor(long term, long now, long reserved) {
			LeaseLedger result = LeaseLedger.create(Term.of(term), LeaseLedgerTests.this.terms, now,
					DecisionListener.NONE, new Invariants());
			result.handle(new LimitsChanged(ACCOUNT, Optional.of(new GrantorLimits(10, 1000, LIMIT)),
					OptionalLong.of(reserved)), now);
			return result;
		}

		@Test
		void leaveSlotsForTheHolders() {
			long now = 0;
			long reserved = 0;
			long held = 0;
			long heldSequence = 0;
			for (int term = 1; term <= TAKEOVERS; term++) {
				now += SECOND / 2;
				LeaseLedger grantor = grantor(term, now, reserved);
				for (int i = 0; i < 3; i++) {
					AccountDemand demand = new AccountDemand(ACCOUNT, 0, 0, 0, 0, SLOTS_IN_USE, held,
							Term.of(Math.max(1, term - 1)), heldSequence, held);
					LeaseLedgerTests.this.sequence++;
					AccountGrant grant = send(grantor, new LeaseRequest(InstanceId.of("a"), Incarnation.of(1),
							LeaseLedgerTests.this.sequence, Term.of(term), List.of(demand)), now)
						.orElseThrow();
					held = grant.slots();
					heldSequence = LeaseLedgerTests.this.sequence;
					now += SECOND / 10;
				}
				assertThat(held).as("slots in term %d", term).isEqualTo(SLOTS_IN_USE);
				assertThat(reserved).isLessThan(LIMIT);
				SlotUse use = grantor.slotUse(ACCOUNT, now);
				reserved = SlotReservation.next(reserved, use);
				assertThat(reserved).isGreaterThanOrEqualTo(use.outstanding());
			}
		}

		@Test
		void countWhatAHolderReportsOnce() {
			LeaseLedger second = grantor(2, 100 * SECOND, 100);
			AccountDemand held = new AccountDemand(ACCOUNT, 0, 0, 0, 0, 60, 60, Term.of(1), 3, 60);
			assertThat(request(second, "a", held, 101 * SECOND).slots()).isEqualTo(60);
			assertThat(second.slotUse(ACCOUNT, 101 * SECOND)).isEqualTo(new SlotUse(60, 40, LIMIT));
			assertThat(request(second, "b", demand(0, 0, 400), 102 * SECOND).slots()).isEqualTo(300);
			assertThat(second.slotUse(ACCOUNT, 102 * SECOND).outstanding()).isEqualTo(LIMIT);
		}

	}

	@Nested
	class Order {

		@Test
		void ignoresReorderedRequest() {
			LeaseRequest newer = new LeaseRequest(InstanceId.of("a"), Incarnation.of(1), 2, Term.of(1),
					List.of(demand(1, 0, 0)));
			LeaseRequest older = new LeaseRequest(InstanceId.of("a"), Incarnation.of(1), 1, Term.of(1),
					List.of(demand(1, 0, 0)));
			assertThat(send(LeaseLedgerTests.this.ledger, newer, 60 * SECOND)).isPresent();
			assertThat(send(LeaseLedgerTests.this.ledger, older, 60 * SECOND)).isEmpty();
		}

		@Test
		void ignoresRequestOfHolderThatHasSeenANewerTerm() {
			LeaseRequest request = new LeaseRequest(InstanceId.of("a"), Incarnation.of(1), 1, Term.of(2),
					List.of(demand(1, 0, 0)));
			assertThat(send(LeaseLedgerTests.this.ledger, request, 60 * SECOND)).isEmpty();
		}

	}

}
