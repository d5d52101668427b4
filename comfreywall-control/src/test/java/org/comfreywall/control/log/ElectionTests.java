package org.comfreywall.control.log;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.id.InstanceId;
import org.comfreywall.common.id.Term;
import org.comfreywall.control.storage.MemoryStorage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests elections among {@link ReplicaCore}s.
 */
class ElectionTests {

	private final LogCluster cluster = LogCluster.of(3);

	@AfterEach
	void breachesNoInvariant() {
		assertThat(this.cluster.invariants.violations()).isZero();
	}

	@Test
	void electOneLeaderThatAllInstancesFollow() {
		InstanceId leader = this.cluster.elect();
		this.cluster.cores.keySet()
			.forEach((instance) -> assertThat(this.cluster.status(instance).leader()).contains(leader));
	}

	@Test
	void replaceACrashedLeader() {
		InstanceId first = this.cluster.elect();
		this.cluster.crash(first);
		InstanceId second = this.cluster.elect();
		assertThat(second).isNotEqualTo(first);
	}

	@Test
	void areNotDisturbedByAnInstanceThatWasIsolated() {
		InstanceId leader = this.cluster.elect();
		Term term = this.cluster.status(leader).term();
		this.cluster.isolated.add(this.cluster.otherThan(leader));
		this.cluster.run(Duration.ofSeconds(20));
		this.cluster.isolated.clear();
		this.cluster.run(Duration.ofSeconds(5));
		assertThat(this.cluster.status(leader).term()).isEqualTo(term);
		assertThat(this.cluster.leader()).contains(leader);
	}

	@Test
	void refuseAVoteWhileTheLeaderMayHoldItsLease() {
		InstanceId leader = this.cluster.elect();
		InstanceId voter = this.cluster.otherThan(leader);
		Term term = this.cluster.status(voter).term();
		PeerMessage request = new PeerMessage(LogCluster.id(9), 1, voter, term.next(),
				new VoteRequest(false, false, new LogPosition(99, term), 0, 0));
		this.cluster.event(voter, new MessageReceived(request));
		assertThat(this.cluster.status(voter).term()).isEqualTo(term);
	}

	@Test
	void refuseAVoteRightAfterARestart() {
		InstanceId leader = this.cluster.elect();
		InstanceId voter = this.cluster.otherThan(leader);
		Term term = this.cluster.status(voter).term();
		this.cluster.crash(voter);
		this.cluster.restart(voter);
		PeerMessage request = new PeerMessage(LogCluster.id(9), 1, voter, term.next(),
				new VoteRequest(false, false, new LogPosition(99, term), 0, 0));
		this.cluster.event(voter, new MessageReceived(request));
		assertThat(this.cluster.status(voter).term()).isEqualTo(term);
	}

	@Test
	void completeBeforeTheElectionTimeoutWhenAllVotersHaveRestarted() {
		this.cluster.elect();
		Set<InstanceId> all = Set.copyOf(this.cluster.cores.keySet());
		all.forEach(this.cluster::crash);
		all.forEach(this.cluster::restart);
		this.cluster.run(LogCluster.SETTINGS.electionTimeout().dividedBy(2));
		assertThat(this.cluster.leader()).isPresent();
	}

	@Test
	void waitForTheLeaseOfALeaderThatHasNotRestarted() {
		InstanceId leader = this.cluster.elect();
		this.cluster.isolated.add(leader);
		restartAllBut(leader);
		this.cluster.run(LogCluster.SETTINGS.leaseDuration().minusMillis(200));
		assertThat(this.cluster.leader()).contains(leader);
		assertThat(this.cluster.cores.keySet())
			.allMatch((instance) -> instance.equals(leader) || this.cluster.status(instance).role() != Role.LEADER);
		this.cluster.run(Duration.ofSeconds(5));
		assertThat(this.cluster.leader()).isPresent().isNotEqualTo(Optional.of(leader));
	}

	@Test
	void waitForTheElectionTimeoutWhenAVoterHasLostItsData() {
		InstanceId leader = this.cluster.elect();
		this.cluster.crash(leader);
		restartAllBut(leader);
		this.cluster.add(leader, MemoryStorage.with(99, new LogBatch(Optional.empty(), List.of())));
		this.cluster.run(LogCluster.SETTINGS.electionTimeout().dividedBy(2));
		assertThat(this.cluster.leader()).isEmpty();
	}

	private void restartAllBut(InstanceId excluded) {
		Set<InstanceId> others = new HashSet<>(this.cluster.cores.keySet());
		others.remove(excluded);
		others.forEach(this.cluster::crash);
		others.forEach(this.cluster::restart);
	}

	@Test
	void transferLeadership() {
		InstanceId leader = this.cluster.elect();
		InstanceId target = this.cluster.otherThan(leader);
		this.cluster.event(leader, new TransferRequested(target));
		assertThat(this.cluster.cores.get(leader).holdsLease(this.cluster.now)).isFalse();
		this.cluster.deliver();
		this.cluster.run(Duration.ofMillis(200));
		assertThat(this.cluster.leader()).contains(target);
	}

}
