package org.comfreywall.daemon.admin;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.json.JsonObject;
import org.comfreywall.control.state.ConfigurationLedger;
import org.comfreywall.control.state.LogTime;
import org.comfreywall.control.state.StateMachine;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ChangeEndpoint} on a state machine in memory.
 */
class ChangeEndpointTests {

	private static final String NORTH = "[[failure-domain]]\nname = \"north\"\nregion = \"r\"\n";

	private static final String SOUTH = "[[failure-domain]]\nname = \"south\"\nregion = \"r\"\n";

	private StateMachine machine = newMachine();

	private final ChangeEndpoint endpoint = new ChangeEndpoint(new ConfigurationService(
			new LedgerCalls((command) -> CompletableFuture.completedFuture(this.machine.apply(LogTime.ZERO, command)),
					(query) -> CompletableFuture.completedFuture(this.machine.query(query)))));

	private static StateMachine newMachine() {
		return new StateMachine(List.of(new ConfigurationLedger((change, configuration) -> {
		})));
	}

	private AdminResponse submit(String id, int expected, String configuration) {
		JsonObject body = new JsonObject().put("changeId", id)
			.put("expectedRevision", expected)
			.put("author", "ana")
			.put("reason", "grow")
			.put("configuration", configuration);
		return this.endpoint.submit(ChangeRequest.parse(body.toBuffer()).value().orElseThrow()).join();
	}

	private void assertAccepted(AdminResponse response, int revision) {
		assertThat(response.body().encode()).contains("\"revision\":" + revision).doesNotContain("error");
		assertThat(response.status()).isEqualTo(200);
	}

	@Test
	void aChangeThatExpectsAnOlderRevisionConflicts() {
		assertAccepted(submit("c1", 0, NORTH), 1);
		assertThat(submit("c2", 0, SOUTH).status()).isEqualTo(409);
		assertThat(submit("c3", 7, SOUTH).status()).isEqualTo(409);
	}

	/**
	 * An operator whose answer was lost sends the same change again, when it has been
	 * applied already. It must get the first answer.
	 */
	@Nested
	class Resending {

		@Test
		void getsTheFirstAnswerOnceTheChangeIsApplied() {
			assertAccepted(submit("c1", 0, NORTH), 1);
			assertAccepted(submit("c1", 0, NORTH), 1);
		}

		@Test
		void getsTheFirstAnswerAfterLaterChanges() {
			assertAccepted(submit("c1", 0, NORTH), 1);
			assertAccepted(submit("c2", 1, NORTH + SOUTH), 2);
			assertAccepted(submit("c3", 2, SOUTH), 3);
			assertAccepted(submit("c2", 1, NORTH + SOUTH), 2);
			assertAccepted(submit("c1", 0, NORTH), 1);
		}

		@Test
		void getsTheFirstAnswerAfterARestartOfAllProcesses() {
			assertAccepted(submit("c1", 0, NORTH), 1);
			StateMachine restarted = newMachine();
			restarted.restore(ChangeEndpointTests.this.machine.snapshot());
			ChangeEndpointTests.this.machine = restarted;
			assertAccepted(submit("c1", 0, NORTH), 1);
		}

		@Test
		void isRefusedWithAnotherContent() {
			assertAccepted(submit("c1", 0, NORTH), 1);
			assertThat(submit("c1", 0, SOUTH).status()).isEqualTo(422);
			assertThat(submit("c1", 0, NORTH + SOUTH).status()).isEqualTo(422);
		}

	}

}
