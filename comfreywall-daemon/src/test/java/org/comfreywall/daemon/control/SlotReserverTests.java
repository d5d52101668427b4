package org.comfreywall.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.result.Result;
import org.comfreywall.control.lease.SlotUse;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotReserver}.
 */
class SlotReserverTests {

	private static final AccountId FARM = AccountId.of("farm");

	private final List<Long> requested = new ArrayList<>();

	private final List<CompletableFuture<Boolean>> answers = new ArrayList<>();

	private final SlotReserver reserver = new SlotReserver(new ManualPort(), Map.of(FARM, 8L));

	private static SlotUse use(long slots) {
		return new SlotUse(slots, 0, 400);
	}

	@Test
	void requestsNoReservationWhileTheCurrentOneSuffices() {
		assertThat(this.reserver.ensureReserved(FARM, use(8)).toCompletableFuture()).isCompletedWithValue(true);
		assertThat(this.requested).isEmpty();
	}

	@Test
	void laterGrantWaitsForPendingReservation() {
		CompletableFuture<Boolean> first = this.reserver.ensureReserved(FARM, use(9)).toCompletableFuture();
		CompletableFuture<Boolean> second = this.reserver.ensureReserved(FARM, use(10)).toCompletableFuture();
		assertThat(this.requested).containsExactly(16L);
		assertThat(second).isNotDone();
		this.answers.get(0).complete(true);
		assertThat(first).isCompletedWithValue(true);
		assertThat(second).isCompletedWithValue(true);
	}

	@Test
	void requestsReservationAgainAfterFailure() {
		CompletableFuture<Boolean> first = this.reserver.ensureReserved(FARM, use(9)).toCompletableFuture();
		this.answers.get(0).complete(false);
		assertThat(first).isCompletedWithValue(false);
		this.reserver.ensureReserved(FARM, use(9));
		assertThat(this.requested).containsExactly(16L, 16L);
	}

	/**
	 * Leaves the reservations pending until the test completes them.
	 */
	private final class ManualPort implements ReservationPort {

		@Override
		public CompletionStage<Result<Map<AccountId, Long>>> load() {
			return CompletableFuture.completedFuture(Result.success(Map.of()));
		}

		@Override
		public CompletionStage<Boolean> reserve(AccountId account, long slots) {
			SlotReserverTests.this.requested.add(slots);
			CompletableFuture<Boolean> answer = new CompletableFuture<>();
			SlotReserverTests.this.answers.add(answer);
			return answer;
		}

	}

}
