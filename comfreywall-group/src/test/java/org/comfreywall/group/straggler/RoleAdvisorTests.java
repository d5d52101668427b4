package org.comfreywall.group.straggler;

import java.util.Optional;

import org.comfreywall.common.decision.DecisionHistory;
import org.comfreywall.common.id.ServiceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RoleAdvisor}.
 */
class RoleAdvisorTests {

	private final DecisionHistory history = new DecisionHistory(8);

	private final RoleAdvisor advisor = new RoleAdvisor(ServiceId.of("chat"), RoleSettings.DEFAULT, this.history);

	@Test
	void movesAGroupToTheOverloadedRole() {
		assertThat(observe(2, 4, 3.8, 1)).isEmpty();
		assertThat(observe(2, 4, 3.8, 1)).isEmpty();
		assertThat(observe(2, 4, 3.8, 1)).hasValueSatisfying((change) -> {
			assertThat(change.from()).isEqualTo(GroupRole.DECODE);
			assertThat(change.to()).isEqualTo(GroupRole.PREFILL);
			assertThat(change.reason()).contains("prefill utilisation 1.90");
		});
		assertThat(this.history.findBySubject("chat")).hasSize(1);
	}

	@Test
	void limitsTheRateOfChanges() {
		int changes = 0;
		for (int window = 0; window < 14; window++) {
			changes += observe(2, 4, 3.8, 1).isPresent() ? 1 : 0;
		}
		assertThat(changes).isEqualTo(1);
	}

	@Test
	void ignoresAShortBurst() {
		assertThat(observe(3, 3, 1, 1)).isEmpty();
		assertThat(observe(3, 3, 4, 1)).isEmpty();
		for (int window = 0; window < 10; window++) {
			assertThat(observe(3, 3, 1, 1)).isEmpty();
		}
	}

	@Test
	void advisesNoChangeWhenBothRolesAreOverloaded() {
		for (int window = 0; window < 10; window++) {
			assertThat(observe(3, 3, 4, 4)).isEmpty();
		}
	}

	@Test
	void keepsTheLastGroupOfARole() {
		for (int window = 0; window < 10; window++) {
			assertThat(observe(3, 1, 9, 0.1)).isEmpty();
		}
	}

	private Optional<RoleChange> observe(int prefillGroups, int decodeGroups, double prefill, double decode) {
		return this.advisor.observe(new RoleLoad(prefillGroups, prefill), new RoleLoad(decodeGroups, decode));
	}

}
