package org.comfreywall.group.mapswitch;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.Incarnation;
import org.comfreywall.common.id.Term;
import org.comfreywall.group.map.MapRef;
import org.comfreywall.group.map.MapVersion;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DecisionLedger}.
 */
class DecisionLedgerTests {

	private static final Term TERM = Term.of(2);

	private final DecisionLedger ledger = new DecisionLedger(2, LedgerState.EMPTY);

	private final CommitSwitch commit = new CommitSwitch(
			new MapBoundary(100, new MapRef(MapVersion.of(2), "second"), new SwitchId(TERM, 1)), 2);

	@BeforeEach
	void formGroup() {
		this.ledger.apply(new OpenTerm(TERM));
		this.ledger.apply(new InstallMap(TERM, new MapRef(MapVersion.of(1), "first")));
		this.ledger.apply(new AssignMember(TERM, 0, member("a", 1)));
		this.ledger.apply(new AssignMember(TERM, 1, member("b", 1)));
	}

	private DecisionLedger ledger() {
		return this.ledger;
	}

	private CommitSwitch commit() {
		return this.commit;
	}

	private static Member member(String server, long incarnation) {
		return new Member(BackendServerId.of(server), Incarnation.of(incarnation));
	}

	@Nested
	class Decisions {

		@Test
		void commitsOnceAndReturnsFirstDecisionForRepeatedWrites() {
			LedgerResult first = ledger().apply(commit());
			long index = ledger().state().index();

			assertThat(first.decision()).contains(new CommitDecision(commit().boundary()));
			assertThat(ledger().apply(commit()).decision()).isEqualTo(first.decision());
			assertThat(ledger().state().index()).isEqualTo(index);
		}

		@Test
		void ignoresAbortAfterCommit() {
			ledger().apply(commit());

			LedgerResult result = ledger().apply(new AbortSwitch(TERM, commit().boundary().attemptId()));

			assertThat(result.decision()).contains(new CommitDecision(commit().boundary()));
			assertThat(ledger().state().timeline().mapAt(100)).contains(commit().boundary().map());
		}

		@Test
		void ignoresCommitAfterAbort() {
			SwitchId id = commit().boundary().attemptId();
			ledger().apply(new AbortSwitch(TERM, id));

			assertThat(ledger().apply(commit()).decision()).contains(new AbortDecision(id));
			assertThat(ledger().state().timeline().boundaries()).hasSize(1);
		}

		@Test
		void rejectsCommitAfterRankWasReplaced() {
			ledger().apply(new AssignMember(TERM, 1, member("c", 1)));

			assertThat(ledger().apply(commit()).refusal()).contains(LedgerRefusal.OTHER_GENERATION);
		}

		@Test
		void rejectsBoundaryThatIsNotAfterPreviousOne() {
			ledger().apply(commit());
			MapBoundary earlier = new MapBoundary(100, new MapRef(MapVersion.of(3), "third"), new SwitchId(TERM, 2));

			assertThat(ledger().apply(new CommitSwitch(earlier, 2)).refusal())
				.contains(LedgerRefusal.STEP_NOT_AFTER_LAST);
		}

	}

	@Nested
	class Terms {

		@Test
		void rejectsWriteOfEarlierTerm() {
			ledger().apply(new OpenTerm(TERM.next()));

			assertThat(ledger().apply(commit()).refusal()).contains(LedgerRefusal.OLD_TERM);
		}

		@Test
		void rejectsWriteOfTermNotOpened() {
			LedgerResult result = ledger().apply(new AssignMember(TERM.next(), 1, member("c", 1)));

			assertThat(result.refusal()).contains(LedgerRefusal.OLD_TERM);
		}

		@Test
		void abortsAttemptOfEarlierTermInLaterTerm() {
			SwitchId id = commit().boundary().attemptId();
			ledger().apply(new OpenTerm(TERM.next()));

			assertThat(ledger().apply(new AbortSwitch(TERM.next(), id)).decision()).contains(new AbortDecision(id));
		}

	}

	@Nested
	class Membership {

		@Test
		void rejectsReplacedMemberUntilItRestarts() {
			ledger().apply(new AssignMember(TERM, 1, member("c", 1)));

			assertThat(ledger().apply(new AssignMember(TERM, 1, member("b", 1))).refusal())
				.contains(LedgerRefusal.REUSED_MEMBER);
			assertThat(ledger().apply(new AssignMember(TERM, 1, member("b", 2))).refusal()).isEmpty();
		}

		@Test
		void rejectsServerAssignedToAnotherRank() {
			assertThat(ledger().apply(new AssignMember(TERM, 1, member("a", 2))).refusal())
				.contains(LedgerRefusal.INVALID_RANK);
		}

		@Test
		void keepsGenerationForRepeatedAssignment() {
			ledger().apply(new AssignMember(TERM, 1, member("b", 1)));

			assertThat(ledger().state().generation()).isEqualTo(2);
		}

	}

}
