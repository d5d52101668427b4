package org.comfreywall.daemon.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.comfreywall.common.id.AccountId;
import org.comfreywall.common.result.Result;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SlotReserver}.
 */
class SlotReserverTests {

	private static final AccountId FARM = AccountId.of("farm");

	private final List<Long> asked = new ArrayList<>();

	private final List<CompletableFuture<Boolean>> answers = new ArrayList<>();

	private final SlotReserver reserver = new SlotReserver(new ManualPort(), Map.of(FARM, 8L));

	@Test
	void asksForNothingWhileTheReservationFits() {
		assertThat(this.reserver.cover(FARM, 8).toCompletableFuture()).isCompletedWithValue(true);
		assertThat(this.asked).isEmpty();
	}

	@Test
	void laterGrantWaitsForTheRaiseThatIsUnderWay() {
		CompletableFuture<Boolean> first = this.reserver.cover(FARM, 9).toCompletableFuture();
		CompletableFuture<Boolean> second = this.reserver.cover(FARM, 10).toCompletableFuture();
		assertThat(this.asked).containsExactly(16L);
		assertThat(second).isNotDone();
		this.answers.get(0).complete(true);
		assertThat(first).isCompletedWithValue(true);
		assertThat(second).isCompletedWithValue(true);
	}

	@Test
	void asksAgainAfterAFailedRaise() {
		CompletableFuture<Boolean> first = this.reserver.cover(FARM, 9).toCompletableFuture();
		this.answers.get(0).complete(false);
		assertThat(first).isCompletedWithValue(false);
		this.reserver.cover(FARM, 9);
		assertThat(this.asked).containsExactly(16L, 16L);
	}

	/**
	 * Answers when told to.
	 */
	private final class ManualPort implements ReservationPort {

		@Override
		public CompletionStage<Result<Map<AccountId, Long>>> load() {
			return CompletableFuture.completedFuture(Result.success(Map.of()));
		}

		@Override
		public CompletionStage<Boolean> reserve(AccountId account, long slots) {
			SlotReserverTests.this.asked.add(slots);
			CompletableFuture<Boolean> answer = new CompletableFuture<>();
			SlotReserverTests.this.answers.add(answer);
			return answer;
		}

	}

}
