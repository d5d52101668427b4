package org.comfreywall.gateway.fleet;

import java.util.List;

import org.comfreywall.common.toml.HostPort;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link BootstrapQuorum}.
 */
class BootstrapQuorumTests {

	private static final long SECOND = 1_000_000_000L;

	private final BootstrapQuorum quorum = new BootstrapQuorum(3);

	private static FleetPeer peer(String name, String domain) {
		return new FleetPeer(name, new HostPort("127.0.0.1", Math.abs(name.hashCode()) % 60_000), domain, 1, 0);
	}

	@Test
	void waitsForEnoughCandidatesAndAQuietPeriod() {
		assertThat(this.quorum.register(peer("a1", "a"), 0)).isEmpty();
		assertThat(this.quorum.register(peer("b1", "b"), SECOND)).isEmpty();
		assertThat(this.quorum.register(peer("c1", "c"), 2 * SECOND)).isEmpty();
		assertThat(this.quorum.register(peer("a1", "a"), 3 * SECOND)).containsExactly("a1", "b1", "c1");
	}

	@Test
	void choosesOneCandidateOfEachFailureDomainFirst() {
		for (String name : List.of("a1", "a2", "b1", "b2", "c1", "c2")) {
			this.quorum.register(peer(name, name.substring(0, 1)), 0);
		}
		assertThat(this.quorum.register(peer("a1", "a"), SECOND)).containsExactly("a1", "b1", "c1");
	}

	@Test
	void neverChangesTheInitialVoters() {
		for (String name : List.of("b1", "c1", "d1")) {
			this.quorum.register(peer(name, name), 0);
		}
		List<String> chosen = this.quorum.register(peer("b1", "b1"), SECOND);
		assertThat(this.quorum.register(peer("a1", "a"), 9 * SECOND)).isEqualTo(chosen);
	}

	@Test
	void choosesAnOddNumberOfVotersAfterTheTimeoutIfTooFewRegister() {
		BootstrapQuorum five = new BootstrapQuorum(5);
		for (String name : List.of("a1", "b1", "c1", "d1")) {
			five.register(peer(name, name), 0);
		}
		assertThat(five.register(peer("a1", "a1"), 7 * SECOND)).hasSize(3);
	}

}
