package org.comfreywall.gateway.pool;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.comfreywall.common.toml.HostPort;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServerDirectory}.
 */
class ServerDirectoryTests {

	private final ServerDirectory directory = new ServerDirectory();

	private static ServerAnnouncement announcement(String id, int port, long startedMillis, long sequence,
			ServerState state) {
		return new ServerAnnouncement(id, "service", new HostPort("127.0.0.1", port), "a", startedMillis, sequence, 8,
				state);
	}

	@Test
	void aDelayedAnnouncementDoesNotMakeALeavingServerReady() {
		this.directory.merge(announcement("s", 1, 10, 5, ServerState.LEAVING), 0);
		assertThat(this.directory.merge(announcement("s", 1, 10, 4, ServerState.READY), 1)).isFalse();
		assertThat(this.directory.merge(announcement("s", 1, 10, 6, ServerState.READY), 1)).isFalse();
		assertThat(this.directory.find("s").orElseThrow().state()).isEqualTo(ServerState.LEAVING);
	}

	@Test
	void aDepartureHoldsForItsIncarnationAndEarlierOnes() {
		this.directory.merge(new Departure("s", 10), 0);
		assertThat(this.directory.merge(announcement("s", 1, 10, 9, ServerState.READY), 1)).isFalse();
		assertThat(this.directory.merge(announcement("s", 1, 9, 9, ServerState.READY), 1)).isFalse();
		assertThat(this.directory.merge(announcement("s", 1, 11, 1, ServerState.READY), 1)).isTrue();
	}

	@Test
	void aDepartureMakesAReadyServerLeave() {
		this.directory.merge(announcement("s", 1, 10, 5, ServerState.READY), 0);
		assertThat(this.directory.merge(new Departure("s", 9), 1)).isEmpty();
		assertThat(this.directory.merge(new Departure("s", 10), 1)).isPresent();
		assertThat(this.directory.find("s").orElseThrow().state()).isEqualTo(ServerState.LEAVING);
		assertThat(this.directory.merge(new Departure("s", 10), 2)).isEmpty();
	}

	@Test
	void aServerThatAnnouncesThatItLeavesHasDeparted() {
		this.directory.merge(announcement("s", 1, 10, 5, ServerState.LEAVING), 0);
		assertThat(this.directory.departureAges(7)).containsExactly(Map.entry(new Departure("s", 10), 7L));
		assertThat(this.directory.hasLeft("s", 10)).isTrue();
		assertThat(this.directory.hasLeft("s", 11)).isFalse();
	}

	@Test
	void aLaterIncarnationOfAServerReplacesTheEarlierOne() {
		this.directory.merge(announcement("s", 1, 10, 500, ServerState.LEAVING), 0);
		assertThat(this.directory.merge(announcement("s", 1, 11, 1, ServerState.READY), 1)).isTrue();
		assertThat(this.directory.merge(announcement("s", 1, 10, 501, ServerState.READY), 2)).isFalse();
	}

	@Test
	void anAnnouncementOfAnEarlierIncarnationAtTheSameAddressIsIgnored() {
		this.directory.merge(announcement("new", 1, 20, 1, ServerState.READY), 0);
		assertThat(this.directory.merge(announcement("old", 1, 10, 9, ServerState.READY), 1)).isFalse();
	}

	@Test
	void aServerThatRestartedUnderAnotherIdentifierReplacesTheOneAtItsAddress() {
		ServerAnnouncement restarted = announcement("new", 1, 20, 1, ServerState.READY);
		this.directory.merge(announcement("old", 1, 10, 9, ServerState.READY), 0);
		this.directory.merge(announcement("other", 2, 10, 9, ServerState.READY), 0);
		this.directory.merge(restarted, 1);
		assertThat(this.directory.removePredecessors(restarted)).extracting(ServerAnnouncement::server)
			.containsExactly("old");
		assertThat(this.directory.find("old")).isEmpty();
		assertThat(this.directory.allAnnouncements()).hasSize(2);
	}

	@Test
	void mergingTheAnnouncementsOfOneServerIsCommutative() {
		List<ServerAnnouncement> announcements = new ArrayList<>(List.of(announcement("s", 1, 10, 1, ServerState.READY),
				announcement("s", 1, 10, 2, ServerState.LEAVING), announcement("s", 1, 12, 1, ServerState.READY),
				announcement("s", 1, 12, 2, ServerState.READY)));
		Random random = new Random(3);
		for (int run = 0; run < 50; run++) {
			Collections.shuffle(announcements, random);
			ServerDirectory merged = new ServerDirectory();
			announcements.forEach((each) -> merged.merge(each, 0));
			assertThat(merged.find("s").orElseThrow().sequence()).isEqualTo(2);
			assertThat(merged.find("s").orElseThrow().startedMillis()).isEqualTo(12);
		}
	}

	/**
	 * Announcements of another writer for a service that is not configured. If they are
	 * merged, what the servers say of themselves later seems outdated: also that they
	 * leave.
	 */
	@Nested
	class ForeignServices {

		private final ServerDirectory directory = ServerDirectoryTests.this.directory;

		private ServerAnnouncement foreign(String id, ServerState state) {
			return new ServerAnnouncement(id, "other", new HostPort("127.0.0.1", 1), "a", 20, 1, 8, state);
		}

		private void assertFollowsTheServer() {
			assertThat(this.directory.merge(announcement("s", 1, 10, 6, ServerState.READY), 2)).isTrue();
			assertThat(this.directory.merge(announcement("s", 1, 10, 7, ServerState.LEAVING), 3)).isTrue();
			assertThat(this.directory.find("s").orElseThrow().state()).isEqualTo(ServerState.LEAVING);
		}

		@ParameterizedTest
		@ValueSource(strings = { "s", "another" })
		void haveNoEffectOnTheServerAtTheirAddress(String id) {
			this.directory.updateServices(Set.of("service"));
			this.directory.merge(announcement("s", 1, 10, 5, ServerState.READY), 0);
			assertThat(this.directory.merge(foreign(id, ServerState.READY), 1)).isFalse();
			assertFollowsTheServer();
		}

		@ParameterizedTest
		@ValueSource(strings = { "s", "another" })
		void loseTheirEffectOnceTheServicesAreKnown(String id) {
			this.directory.merge(foreign(id, ServerState.READY), 1);
			assertThat(this.directory.updateServices(Set.of("service"))).extracting(ServerAnnouncement::server)
				.containsExactly(id);
			assertFollowsTheServer();
		}

		@Test
		void areMergedOnceTheirServiceIsConfigured() {
			this.directory.updateServices(Set.of("service"));
			this.directory.merge(foreign("new", ServerState.READY), 1);
			assertThat(this.directory.takeConfigured()).isEmpty();
			assertThat(this.directory.updateServices(Set.of("service", "other"))).isEmpty();
			assertThat(this.directory.takeConfigured()).containsExactly(foreign("new", ServerState.READY));
			assertThat(this.directory.takeConfigured()).isEmpty();
		}

		@Test
		void aDepartureAsAMemberOfOneServiceHoldsForThatServiceOnly() {
			this.directory.merge(new Departure(foreign("s", ServerState.LEAVING).serviceMember(), 20), 0);
			assertThat(this.directory.merge(announcement("s", 1, 10, 5, ServerState.READY), 1)).isTrue();
			assertThat(this.directory.merge(foreign("s", ServerState.READY), 2)).isFalse();
		}

	}

}
