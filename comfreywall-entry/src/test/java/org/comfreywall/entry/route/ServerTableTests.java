package org.comfreywall.entry.route;

import org.comfreywall.common.id.BackendServerId;
import org.comfreywall.common.id.FailureDomainId;
import org.comfreywall.common.id.Incarnation;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ServerTable}.
 */
class ServerTableTests {

	private static final Incarnation LIFE = Incarnation.of(1);

	private final ServerTable table = new ServerTable(1);

	@Test
	void endedLifeStaysOutWhenMoreServersEndedThanMayBeKnown() {
		this.table.remove(BackendServerId.of("w1"), LIFE);
		this.table.remove(BackendServerId.of("w2"), LIFE);
		assertThat(this.table.announce(announced("w1", 1), 0)).isFalse();
	}

	@Test
	void refusesMoreServersThanMayBeKnown() {
		assertThat(this.table.announce(announced("w1", 1), 0)).isTrue();
		assertThat(this.table.announce(announced("w2", 1), 0)).isFalse();
	}

	@Test
	void laterLifeReplacesTheEarlierOne() {
		this.table.announce(announced("w1", 1), 0);
		assertThat(this.table.announce(announced("w1", 2), 0)).isTrue();
		assertThat(this.table.remove(BackendServerId.of("w1"), LIFE)).isEmpty();
	}

	private static ServerAnnounced announced(String server, long life) {
		return new ServerAnnounced(BackendServerId.of(server), Incarnation.of(life), FailureDomainId.of("d"),
				ServerProfile.DEFAULT);
	}

}
