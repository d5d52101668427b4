package org.comfreywall.gateway.fleet;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.toml.HostPort;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LeaderDiscovery}.
 */
class LeaderDiscoveryTests {

	private static final long MILLI = 1_000_000;

	private static final HostPort A = new HostPort("10.0.0.1", 1);

	private static final HostPort B = new HostPort("10.0.0.2", 1);

	private static final HostPort C = new HostPort("10.0.0.3", 1);

	private final LeaderDiscovery discovery = new LeaderDiscovery(List.of(A, B, C));

	private void timeOutTwice(long now) {
		this.discovery.handleTimeout(now);
		this.discovery.handleTimeout(now);
	}

	@Test
	void keepsTheLeaderAfterASingleTimeout() {
		this.discovery.handleTimeout(0);
		assertThat(this.discovery.current()).isEqualTo(A);
		this.discovery.handleReply(Optional.of(A), List.of(B, C, A), MILLI);
		this.discovery.handleTimeout(2 * MILLI);
		assertThat(this.discovery.current()).isEqualTo(A);
	}

	@Test
	void followsARedirectToTheLeader() {
		this.discovery.handleReply(Optional.of(C), List.of(A, B, C), 0);
		assertThat(this.discovery.current()).isEqualTo(C);
	}

	@Test
	void queriesTheSameProcessAgainIfItKnowsNoLeader() {
		this.discovery.handleReply(Optional.empty(), List.of(A, B, C), 0);
		assertThat(this.discovery.current()).isEqualTo(A);
	}

	@Test
	void ignoresRedirectsToALeaderThatHasTimedOut() {
		timeOutTwice(0);
		assertThat(this.discovery.current()).isEqualTo(B);
		this.discovery.handleReply(Optional.of(A), List.of(B, C, A), 100 * MILLI);
		assertThat(this.discovery.current()).isEqualTo(B);
		this.discovery.handleReply(Optional.of(C), List.of(B, C, A), 800 * MILLI);
		assertThat(this.discovery.current()).isEqualTo(C);
	}

	@Test
	void followsRedirectsToATimedOutLeaderAgainAfterAWhile() {
		timeOutTwice(0);
		this.discovery.handleReply(Optional.of(A), List.of(B, C, A), 2000 * MILLI);
		assertThat(this.discovery.current()).isEqualTo(A);
	}

	@Test
	void cyclesThroughTheCandidatesWhileAllTimeOut() {
		timeOutTwice(0);
		timeOutTwice(MILLI);
		timeOutTwice(2 * MILLI);
		assertThat(this.discovery.current()).isEqualTo(A);
		timeOutTwice(3 * MILLI);
		assertThat(this.discovery.current()).isEqualTo(B);
	}

	@Test
	void addedSeedsAreQueriedAsWell() {
		HostPort added = new HostPort("10.0.0.9", 1);
		this.discovery.addSeeds(List.of(added));
		timeOutTwice(0);
		assertThat(this.discovery.current()).isEqualTo(B);
		timeOutTwice(MILLI);
		timeOutTwice(2 * MILLI);
		assertThat(this.discovery.current()).isEqualTo(added);
	}

}
