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

	private static final Incarnation INCARNATION = Incarnation.of(1);

	private final ServerTable table = new ServerTable(1);

	@Test
	void endedIncarnationIsRejectedWhenMoreServersEndedThanMayBeKnown() {
		this.table.remove(BackendServerId.of("w1"), INCARNATION);
		this.table.remove(BackendServerId.of("w2"), INCARNATION);
		assertThat(this.table.applyAnnouncement(announced("w1", 1), 0)).isFalse();
	}

	@Test
	void rejectsServersBeyondTheMaximum() {
		assertThat(this.table.applyAnnouncement(announced("w1", 1), 0)).isTrue();
		assertThat(this.table.applyAnnouncement(announced("w2", 1), 0)).isFalse();
	}

	@Test
	void laterIncarnationReplacesTheEarlierOne() {
		this.table.applyAnnouncement(announced("w1", 1), 0);
		assertThat(this.table.applyAnnouncement(announced("w1", 2), 0)).isTrue();
		assertThat(this.table.remove(BackendServerId.of("w1"), INCARNATION)).isEmpty();
	}

	private static ServerAnnounced announced(String server, long incarnation) {
		return new ServerAnnounced(BackendServerId.of(server), Incarnation.of(incarnation), FailureDomainId.of("d"),
				ServerProfile.DEFAULT);
	}

}
