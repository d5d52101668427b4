package org.comfreywall.control.log;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.util.Bytes;
import org.comfreywall.control.storage.MemoryStorage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicaCore}.
 */
class ReplicaCoreTests {

	private final LogCluster cluster = LogCluster.of(3);

	@AfterEach
	void breachesNoInvariant() {
		assertThat(this.cluster.invariants.violations()).isZero();
	}

	@Test
	void codecKeepsEveryMessage() {
		PeerBody[] bodies = { new VoteRequest(true, true, new LogPosition(4, Term.of(2)), 7, 8),
				new VoteReply(true, false, 7, 8),
				new AppendRequest(new LogPosition(1, Term.of(1)), 1, -5,
						BootstrapBatch.of(List.of(LogCluster.id(1))).entries()),
				new AppendReply(true, 3, Long.MIN_VALUE), new SnapshotReply(1, 2, true, 3), new TransferRequest(),
				new SnapshotChunk(new LogPosition(2, Term.of(1)), 4, Bytes.ofText("part"), true, 9) };
		for (PeerBody body : bodies) {
			PeerMessage message = new PeerMessage(LogCluster.id(1), 5, LogCluster.id(2), Term.of(3), body);
			assertThat(LogCodec.decodeMessage(LogCodec.encodeMessage(message)).value()).isEqualTo(Optional.of(message));
		}
	}

	private <T extends LogCommand> List<T> answers(InstanceId instance, Class<T> type) {
		return this.cluster.answers.get(instance).stream().filter(type::isInstance).map(type::cast).toList();
	}

	private ErrorCode lastRefusal(InstanceId instance) {
		List<ProposalRefused> refusals = answers(instance, ProposalRefused.class);
		return refusals.get(refusals.size() - 1).error().code();
	}

	@Nested
	class Leases {

		private final LogCluster cluster = ReplicaCoreTests.this.cluster;

		@Test
		void endAtAnIsolatedLeaderBeforeAnotherIsElected() {
			InstanceId old = this.cluster.elect();
			this.cluster.isolated.add(old);
			boolean replaced = false;
			for (int i = 0; i < 400 && !replaced; i++) {
				this.cluster.run(Duration.ofMillis(20));
				replaced = this.cluster.cores.entrySet()
					.stream()
					.anyMatch((core) -> !core.getKey().equals(old)
							&& core.getValue().status(this.cluster.now).role() == Role.LEADER);
				assertThat(replaced && this.cluster.cores.get(old).holdsLease(this.cluster.now)).isFalse();
			}
			assertThat(replaced).isTrue();
		}

		@Test
		void makeAnIsolatedLeaderStepDown() {
			InstanceId old = this.cluster.elect();
			this.cluster.isolated.add(old);
			this.cluster.run(Duration.ofMillis(1200));
			assertThat(this.cluster.status(old).role()).isNotEqualTo(Role.LEADER);
		}

	}

	@Nested
	class Proposals {

		private final LogCluster cluster = ReplicaCoreTests.this.cluster;

		@Test
		void areAppliedEverywhereInOrder() {
			InstanceId leader = this.cluster.elect();
			List.of("a", "b", "c").forEach((command) -> this.cluster.propose(leader, command));
			this.cluster.run(Duration.ofMillis(300));
			this.cluster.cores.keySet()
				.forEach((instance) -> assertThat(this.cluster.commands(instance)).containsExactly("a", "b", "c"));
		}

		@Test
		void areNotCommittedWithoutAQuorum() {
			InstanceId leader = this.cluster.elect();
			this.cluster.isolated.add(leader);
			this.cluster.propose(leader, "a");
			assertThat(this.cluster.commands(leader)).isEmpty();
		}

		@Test
		void areRefusedByAFollowerWithTheLeaderAsPeer() {
			InstanceId leader = this.cluster.elect();
			InstanceId follower = this.cluster.otherThan(leader);
			this.cluster.propose(follower, "a");
			assertThat(answers(follower, ProposalRefused.class).get(0).error().peer()).contains(leader);
		}

		@Test
		void acceptedByAnIsolatedLeaderAreReplaced() {
			InstanceId old = this.cluster.elect();
			this.cluster.isolated.add(old);
			this.cluster.propose(old, "lost");
			this.cluster.run(Duration.ofSeconds(5));
			InstanceId next = this.cluster.leader().orElseThrow();
			this.cluster.propose(next, "kept");
			this.cluster.isolated.clear();
			this.cluster.run(Duration.ofSeconds(2));
			assertThat(this.cluster.commands(old)).containsExactly("kept");
		}

		@Test
		void areRefusedWhenTooLarge() {
			InstanceId leader = this.cluster.elect();
			this.cluster.propose(leader, "x".repeat(LogCluster.SETTINGS.maxCommandBytes() + 1));
			assertThat(lastRefusal(leader)).isEqualTo(ErrorCode.INVALID_INPUT);
		}

		@Test
		void carryALogTimeThatNeverDecreases() {
			InstanceId leader = this.cluster.elect();
			this.cluster.propose(leader, "a");
			this.cluster.crash(leader);
			InstanceId next = this.cluster.elect();
			this.cluster.propose(next, "b");
			List<LogEntry> applied = this.cluster.applied.get(next);
			assertThat(applied).isSortedAccordingTo((left, right) -> left.time().compareTo(right.time()));
		}

	}

	@Nested
	class Reads {

		private final LogCluster cluster = ReplicaCoreTests.this.cluster;

		@Test
		void areAnsweredAtOnceUnderTheLease() {
			InstanceId leader = this.cluster.elect();
			this.cluster.event(leader, new ReadRequested(7));
			assertThat(answers(leader, ReadReady.class)).extracting(ReadReady::read).containsExactly(7L);
		}

		@Test
		void areNotAnsweredByAnIsolatedLeaderWithoutLease() {
			InstanceId leader = this.cluster.elect();
			this.cluster.isolated.add(leader);
			this.cluster.now += Duration.ofMillis(950).toNanos();
			this.cluster.event(leader, new ReadRequested(7));
			this.cluster.run(Duration.ofSeconds(2));
			assertThat(answers(leader, ReadReady.class)).isEmpty();
			assertThat(answers(leader, ReadRefused.class)).hasSize(1);
		}

		@Test
		void areConfirmedByAQuorumWithoutLease() {
			InstanceId leader = this.cluster.elect();
			this.cluster.now += Duration.ofMillis(950).toNanos();
			this.cluster.event(leader, new ReadRequested(7));
			this.cluster.deliver();
			assertThat(answers(leader, ReadReady.class)).hasSize(1);
		}

	}

	@Nested
	class Snapshots {

		private final LogCluster cluster = ReplicaCoreTests.this.cluster;

		@Test
		void areSentInChunksToAnInstanceThatMissedEntries() {
			InstanceId leader = this.cluster.elect();
			InstanceId missing = this.cluster.otherThan(leader);
			this.cluster.isolated.add(missing);
			for (int i = 0; i < 20; i++) {
				this.cluster.propose(leader, "command-" + i);
			}
			long index = this.cluster.status(leader).commitIndex();
			this.cluster.event(leader, new SnapshotTaken(index, Bytes.ofText("state ".repeat(100))));
			this.cluster.isolated.clear();
			this.cluster.propose(leader, "after");
			this.cluster.run(Duration.ofSeconds(2));
			assertThat(this.cluster.status(missing).commitIndex()).isEqualTo(this.cluster.status(leader).commitIndex());
			assertThat(this.cluster.storages.get(missing).recovered().snapshot()).map(Snapshot::state)
				.contains(Bytes.ofText("state ".repeat(100)));
			assertThat(this.cluster.commands(missing)).containsExactly("after");
		}

		@Test
		void restoreARestartedInstance() {
			InstanceId leader = this.cluster.elect();
			this.cluster.propose(leader, "a");
			long index = this.cluster.status(leader).commitIndex();
			this.cluster.event(leader, new SnapshotTaken(index, Bytes.ofText("state")));
			this.cluster.crash(leader);
			this.cluster.restart(leader);
			assertThat(this.cluster.status(leader).commitIndex()).isEqualTo(index);
			assertThat(this.cluster.status(leader).membership().voters()).hasSize(3);
		}

	}

	@Nested
	class Members {

		private final LogCluster cluster = ReplicaCoreTests.this.cluster;

		private final InstanceId added = LogCluster.id(4);

		private void change(InstanceId leader, MembershipChange change) {
			this.cluster.event(leader, new MembershipProposed(1, change));
			this.cluster.run(Duration.ofMillis(500));
		}

		@Test
		void joinAsLearnersAndAreThenPromoted() {
			InstanceId leader = this.cluster.elect();
			this.cluster.add(this.added, MemoryStorage.empty(44));
			change(leader, new AddLearner(this.added, 44));
			assertThat(this.cluster.status(this.added).membership().voters()).hasSize(3);
			change(leader, new PromoteLearner(this.added));
			assertThat(this.cluster.status(this.added).membership().voters()).hasSize(4);
		}

		@Test
		void areNotPromotedBeforeTheyHoldTheLog() {
			InstanceId leader = this.cluster.elect();
			change(leader, new AddLearner(this.added, 44));
			change(leader, new PromoteLearner(this.added));
			assertThat(lastRefusal(leader)).isEqualTo(ErrorCode.UNAVAILABLE);
		}

		@Test
		void withAnotherDataFolderAreNotPromoted() {
			InstanceId leader = this.cluster.elect();
			change(leader, new AddLearner(this.added, 44));
			this.cluster.add(this.added, MemoryStorage.empty(45));
			change(leader, new PromoteLearner(this.added));
			assertThat(lastRefusal(leader)).isEqualTo(ErrorCode.UNAVAILABLE);
		}

		@Test
		void changeOneAtATime() {
			InstanceId leader = this.cluster.elect();
			this.cluster.event(leader, new MembershipProposed(1, new AddLearner(this.added, 44)));
			this.cluster.event(leader, new MembershipProposed(2, new AddLearner(LogCluster.id(5), 45)));
			assertThat(lastRefusal(leader)).isEqualTo(ErrorCode.CONFLICT);
		}

		@Test
		void canRemoveTheLeaderWhichThenStepsDown() {
			InstanceId leader = this.cluster.elect();
			change(leader, new RemoveMember(leader));
			this.cluster.run(Duration.ofSeconds(4));
			assertThat(this.cluster.leader()).isPresent().get().isNotEqualTo(leader);
		}

		@Test
		void doNotLoseTheLastVoter() {
			LogCluster single = LogCluster.of(1);
			InstanceId leader = single.elect();
			single.event(leader, new MembershipProposed(1, new RemoveMember(leader)));
			assertThat(single.answers.get(leader).stream().filter(ProposalRefused.class::isInstance)).hasSize(1);
		}

	}

	@Nested
	class FailedStorage {

		private final LogCluster cluster = ReplicaCoreTests.this.cluster;

		@Test
		void disablesTheInstance() {
			InstanceId leader = this.cluster.elect();
			this.cluster.storages.get(leader).failNextSync();
			this.cluster.propose(leader, "a");
			this.cluster.run(Duration.ofSeconds(5));
			assertThat(this.cluster.status(leader).role()).isEqualTo(Role.DISABLED);
			assertThat(this.cluster.leader()).isPresent().get().isNotEqualTo(leader);
		}

		@Test
		void acknowledgesNothing() {
			InstanceId leader = this.cluster.elect();
			this.cluster.cores.keySet()
				.stream()
				.filter((instance) -> !instance.equals(leader))
				.forEach((instance) -> this.cluster.storages.get(instance).failNextSync());
			this.cluster.propose(leader, "a");
			assertThat(this.cluster.commands(leader)).isEmpty();
		}

	}

}
