package org.comfreywall.gateway.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.comfreywall.control.state.EvacuationOrders;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EvacuationSync}.
 */
class EvacuationSyncTests {

	private static FleetPeer peer(String name, long storage, int commandFormat) {
		return new FleetPeer(name, new HostPort("127.0.0.1", 1), "a", 1, storage, commandFormat);
	}

	/**
	 * A process that wakes may learn of new orders just before it accepts a connection
	 * that waited with an old one.
	 */
	@Test
	void aConnectionIsOlderThanTheOrdersLearntWhileItWasAccepted() {
		EvacuationSync sync = new EvacuationSync(Runnable::run,
				() -> new LeaderClient(Optional.empty(), Optional.empty()), () -> true, (orders) -> {
				});
		long start = System.nanoTime();
		sync.update(new EvacuationOrders(1, Set.of("a")));
		assertThat(sync.versionBeforeAccept(start)).isZero();
		long later = System.nanoTime() + Duration.ofSeconds(1).toNanos();
		assertThat(sync.versionBeforeAccept(later)).isEqualTo(1);
		sync.update(new EvacuationOrders(2, Set.of()));
		sync.update(new EvacuationOrders(3, Set.of("a")));
		assertThat(sync.versionBeforeAccept(start)).isEqualTo(1);
		assertThat(sync.versionBeforeAccept(later)).isEqualTo(3);
	}

	/**
	 * Replicas of an earlier version ignore the known version and would apply what the
	 * others refuse.
	 */
	@Test
	void aFormatIsUsedOnlyIfAllProcessesWithADiskApplyIt() {
		CommandFormat format = CommandFormat.VERSIONED_EVACUATIONS;
		assertThat(format.isSupportedBy(List.of(peer("new", 1, format.ordinal()), peer("diskless", 0, 0)))).isTrue();
		assertThat(format.isSupportedBy(List.of(peer("new", 1, format.ordinal()), peer("old", 2, 0)))).isFalse();
	}

	/**
	 * The address of a seed is kept for ever, also that of a process of an earlier
	 * version that was replaced.
	 */
	@Test
	void aSeedThatIsGoneDoesNotHoldUpANewFormat() {
		FleetPeer seed = peer("old", 2, 0);
		PeerTable peers = new PeerTable();
		peers.recordUpdate(seed, false, 0);
		assertThat(peers.recentPeers(Duration.ofSeconds(10).toNanos())).containsExactly(seed);
		long later = Duration.ofMinutes(1).toNanos();
		peers.removeExpired(later, List.of(seed.address()));
		assertThat(peers.addresses()).containsExactly(seed.address());
		assertThat(peers.recentPeers(later)).isEmpty();
	}

}
