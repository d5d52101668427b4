package org.comfreywall.control.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.comfreywall.common.result.Result;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link EvacuationLedger}.
 */
class EvacuationLedgerTests {

	private final List<EvacuationOrders> changes = new ArrayList<>();

	private final EvacuationLedger ledger = new EvacuationLedger(this.changes::add);

	private Optional<EvacuationOrders> apply(String domain, boolean start) {
		Bytes command = EvacuationCodec.encode(new EvacuationCommand(domain, start));
		return EvacuationCodec.decodeAnswer(this.ledger.apply(LogTime.ZERO, command)).map(EvacuationAnswer::orders);
	}

	private EvacuationAnswer apply(String domain, boolean start, long knownVersion) {
		Bytes command = EvacuationCodec.encode(new EvacuationCommand(domain, start, OptionalLong.of(knownVersion)));
		return EvacuationCodec.decodeAnswer(this.ledger.apply(LogTime.ZERO, command)).orElseThrow();
	}

	private static EvacuationOrders orders(long version, String... domains) {
		return new EvacuationOrders(version, Set.of(domains));
	}

	/**
	 * An operator without a response repeats the order; a refused or counted repeat would
	 * make the operator give up, or make gateways mistake old orders for newer ones.
	 */
	@Test
	void repeatsSucceedAndChangeNothing() {
		assertThat(apply("a", false)).contains(EvacuationOrders.NONE);
		assertThat(apply("a", true)).contains(orders(1, "a"));
		assertThat(apply("a", true)).contains(orders(1, "a"));
		assertThat(apply("b", true)).contains(orders(2, "a", "b"));
		assertThat(apply("a", false)).contains(orders(3, "b"));
		assertThat(apply("a", false)).contains(orders(3, "b"));
		assertThat(this.changes).containsExactly(orders(1, "a"), orders(2, "a", "b"), orders(3, "b"));
		assertThat(EvacuationCodec.decodeAnswer(this.ledger.query(Bytes.EMPTY)))
			.contains(new EvacuationAnswer(orders(3, "b"), false));
	}

	/**
	 * A gateway or a leader that was paused proposes an order that its operator has given
	 * up and had acknowledged elsewhere; it must not undo the order after that.
	 */
	@Test
	void anOrderThatWasGivenBeforeANewerOneIsRefused() {
		assertThat(apply("a", true, 0)).isEqualTo(new EvacuationAnswer(orders(1, "a"), false));
		assertThat(apply("a", false, 1)).isEqualTo(new EvacuationAnswer(orders(2), false));
		assertThat(apply("a", true, 2)).isEqualTo(new EvacuationAnswer(orders(3, "a"), false));
		assertThat(apply("a", false, 1)).isEqualTo(new EvacuationAnswer(orders(3, "a"), true));
		assertThat(this.changes).hasSize(3);
		assertThat(apply("a", false, 3)).isEqualTo(new EvacuationAnswer(orders(4), false));
	}

	@Test
	void aRepeatSucceedsWhateverItsGatewayKnew() {
		assertThat(apply("a", true, 0)).isEqualTo(new EvacuationAnswer(orders(1, "a"), false));
		assertThat(apply("a", true, 0)).isEqualTo(new EvacuationAnswer(orders(1, "a"), false));
		assertThat(apply("a", true, 9)).isEqualTo(new EvacuationAnswer(orders(1, "a"), false));
	}

	/**
	 * Logs of earlier versions, and processes of them that propose to a leader of this
	 * one, state no version.
	 */
	@Test
	void anOrderWithoutAKnownVersionTakesEffectInTheOrderOfTheLog() {
		apply("a", true, 0);
		assertThat(apply("a", false)).contains(orders(2));
		assertThat(apply("a", true)).contains(orders(3, "a"));
	}

	@Test
	void malformedCommandsAndThoseBeyondTheLimitAreRefused() {
		assertThat(EvacuationCodec.decodeAnswer(this.ledger.apply(LogTime.ZERO, Bytes.EMPTY))).isEmpty();
		assertThat(EvacuationCodec.decodeAnswer(this.ledger.apply(LogTime.ZERO, Bytes.ofText("\u0001")))).isEmpty();
		for (int i = 0; i < EvacuationLedger.MAX_DOMAINS; i++) {
			assertThat(apply("d" + i, true)).isPresent();
		}
		assertThat(apply("one-more", true)).isEmpty();
		assertThat(apply("d0", true)).isPresent();
		assertThat(this.ledger.current().domains()).hasSize(EvacuationLedger.MAX_DOMAINS).doesNotContain("one-more");
	}

	@Nested
	class Snapshots {

		private final List<EvacuationOrders> learnt = new ArrayList<>();

		private final EvacuationLedger copy = new EvacuationLedger(this.learnt::add);

		@Test
		void theStateIsRestored() {
			apply("b", true);
			apply("a", true);
			Bytes snapshot = EvacuationLedgerTests.this.ledger.snapshot();
			this.copy.restore(snapshot);
			this.copy.restore(snapshot);
			assertThat(this.copy.current()).isEqualTo(orders(2, "a", "b"));
			assertThat(this.learnt).containsExactly(orders(2, "a", "b"));
			assertThat(this.copy.snapshot()).isEqualTo(snapshot);
			assertThatIllegalArgumentException().isThrownBy(() -> this.copy.restore(Bytes.ofText("\u0001")));
		}

		/**
		 * Snapshots of this version must not be lost, and those of a version without this
		 * ledger must still be readable after an upgrade.
		 */
		@Test
		void aSnapshotFromBeforeThisLedgerIsReadable() {
			List<VersionedDocument> documents = new ArrayList<>();
			StateMachine earlier = new StateMachine(List.of(new DocumentLedger((document) -> {
			})));
			Bytes document = new VersionedDocument(7, Bytes.ofText("seven")).encode();
			earlier.apply(LogTime.ZERO, new LedgerCommand(DocumentLedger.NAME, document).encode());
			StateMachine upgraded = new StateMachine(List.of(new DocumentLedger(documents::add), this.copy));
			upgraded.restore(earlier.snapshot());
			assertThat(documents).extracting(VersionedDocument::version).containsExactly(7L);
			assertThat(this.copy.current()).isEqualTo(EvacuationOrders.NONE);
			Bytes start = EvacuationCodec.encode(new EvacuationCommand("a", true));
			Result<Bytes> answer = upgraded.apply(LogTime.ZERO,
					new LedgerCommand(EvacuationLedger.NAME, start).encode());
			assertThat(answer.value().flatMap(EvacuationCodec::decodeAnswer))
				.contains(new EvacuationAnswer(orders(1, "a"), false));
			EvacuationLedger restored = new EvacuationLedger((orders) -> {
			});
			new StateMachine(List.of(new DocumentLedger(documents::add), restored)).restore(upgraded.snapshot());
			assertThat(restored.current()).isEqualTo(orders(1, "a"));
		}

	}

}
