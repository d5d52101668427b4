package org.comfreywall.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.command.ExitCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link org.comfreywall.cli.command.ApplyCommand} against a fake admin API.
 */
class ApplyCommandTests {

	private static final String CHANGES = "POST /v1/changes";

	private static final String PROGRESS = "GET /v1/revisions/5/progress";

	private static final String ACCEPTED = "{\"revision\":5,\"applied\":true}";

	private static final String DESIRED = "[[failure-domain]]\nname = \"north\"\nregion = \"home\"\n";

	private final FakeAdminServer daemon = new FakeAdminServer();

	@TempDir
	private Path folder;

	private Path file;

	@BeforeEach
	void prepare() throws IOException {
		this.file = this.folder.resolve("wanted.toml");
		Files.writeString(this.file, DESIRED);
		this.daemon.addResponse("GET /v1/configuration", 200, "{\"revision\":4,\"configuration\":\"\"}");
	}

	@AfterEach
	void stopDaemon() {
		this.daemon.close();
	}

	private CommandRun apply(String... options) {
		List<String> args = new ArrayList<>(List.of("apply", "--admin", this.daemon.url()));
		args.addAll(List.of(options));
		return CommandRun.of(args.toArray(new String[0]));
	}

	private CommandRun applyFile(String... options) {
		List<String> args = new ArrayList<>(List.of(options));
		args.add(this.file.toString());
		return apply(args.toArray(new String[0]));
	}

	@Test
	void submitsTheChangeBasedOnTheCurrentRevision() {
		this.daemon.addResponse(CHANGES, 200, ACCEPTED);
		CommandRun run = applyFile("--author", "ana", "--reason", "grow", "--change-id", "c5");
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("+ failure-domain north", "accepted as revision 5, change-id c5");
		assertThat(this.daemon.bodies()).containsExactly(new JsonObject().put("changeId", "c5")
			.put("expectedRevision", 4)
			.put("author", "ana")
			.put("reason", "grow")
			.put("dryRun", false)
			.put("configuration", DESIRED));
	}

	@Test
	void generatesAndPrintsChangeId() {
		this.daemon.addResponse(CHANGES, 200, ACCEPTED);
		CommandRun run = applyFile("--json");
		String changeId = run.json().getString("changeId");
		assertThat(run.err()).contains("change-id " + changeId + " on expected revision 4");
		assertThat(this.daemon.bodies().get(0).getString("changeId")).isEqualTo(changeId);
	}

	@Test
	void reportsTheChangeThatWonAConflict() {
		this.daemon.addResponse(CHANGES, 409, "{\"error\":{\"code\":\"CONFLICT\",\"message\":\"revision 4 is past\","
				+ "\"winnerChangeId\":\"c4\",\"winnerAuthor\":\"bo\",\"revision\":5}}");
		CommandRun run = applyFile();
		assertThat(run.exit()).isEqualTo(ExitCode.CONFLICT);
		assertThat(run.out()).contains("bo changed the configuration first", "c4", "revision 5",
				"next: run comfreywall get");
	}

	@Test
	void reportsConflictWithAnUnknownWinner() {
		this.daemon.addResponse(CHANGES, 409,
				"{\"error\":{\"code\":\"CONFLICT\",\"message\":\"past\",\"revision\":900}}");
		CommandRun run = applyFile();
		assertThat(run.exit()).isEqualTo(ExitCode.CONFLICT);
		assertThat(run.out()).contains("another change came first; the configuration is at revision 900");
	}

	@Test
	void rejectsInvalidFileWithoutSubmittingIt() throws IOException {
		Files.writeString(this.file, "[[failure-domian]]\n");
		CommandRun run = applyFile();
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.err()).contains("did you mean \"failure-domain\"?");
		assertThat(this.daemon.bodies()).isEmpty();
	}

	@Test
	void submitsNothingWhenNothingChanges() throws IOException {
		Files.writeString(this.file, "");
		CommandRun run = applyFile();
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("nothing to change: revision 4");
		assertThat(this.daemon.bodies()).isEmpty();
	}

	@Test
	void rollsBackToARevision() {
		this.daemon.addResponse(CHANGES, 200, ACCEPTED);
		assertThat(apply("--rollback-to", "2").exit()).isEqualTo(ExitCode.OK);
		JsonObject body = this.daemon.bodies().get(0);
		assertThat(body.getLong("rollbackTo")).isEqualTo(2);
		assertThat(body.containsKey("configuration")).isFalse();
	}

	@Test
	void sendsAndReportsDryRun() {
		this.daemon.addResponse(CHANGES, 200, "{\"revision\":5,\"applied\":false}");
		CommandRun run = applyFile("--dry-run", "--wait");
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("would be accepted as revision 5");
		assertThat(this.daemon.bodies().get(0).getBoolean("dryRun")).isTrue();
	}

	@Nested
	class LostResponses {

		@Test
		void causeAResendWithTheSameChangeId() {
			ApplyCommandTests.this.daemon.addDroppedConnection(CHANGES).addResponse(CHANGES, 200, ACCEPTED);
			CommandRun run = applyFile();
			assertThat(run.exit()).isEqualTo(ExitCode.OK);
			List<JsonObject> bodies = ApplyCommandTests.this.daemon.bodies();
			assertThat(bodies).hasSize(2);
			assertThat(bodies.get(1)).isEqualTo(bodies.get(0));
		}

		@Test
		void endWithTheCommandThatFindsOutTheOutcome() {
			ApplyCommandTests.this.daemon.addDroppedConnection(CHANGES);
			CommandRun run = applyFile("--change-id", "c5");
			assertThat(run.exit()).isEqualTo(ExitCode.UNREACHABLE);
			assertThat(run.err()).contains("--change-id c5 --expected-revision 4", "is not known");
		}

	}

	@Nested
	class Waiting {

		@Test
		void endsWhenEveryMemberHasAppliedTheRevision() {
			ApplyCommandTests.this.daemon.addResponse(CHANGES, 200, ACCEPTED)
				.addResponse(PROGRESS, 200, "{\"revision\":5,\"members\":2,\"inForce\":1,\"missing\":[\"two\"]}")
				.addResponse(PROGRESS, 200, "{\"revision\":5,\"members\":2,\"inForce\":2,\"missing\":[]}");
			CommandRun run = applyFile("--wait", "--timeout", "1m");
			assertThat(run.exit()).isEqualTo(ExitCode.OK);
			assertThat(run.out()).contains("in force on all 2 live members");
		}

		@Test
		void reportsTheMissingMembersAfterTheTimeout() {
			ApplyCommandTests.this.daemon.addResponse(CHANGES, 200, ACCEPTED)
				.addResponse(PROGRESS, 200, "{\"revision\":5,\"members\":2,\"inForce\":1,\"missing\":[\"two\"]}");
			CommandRun run = applyFile("--wait", "--timeout", "10ms");
			assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
			assertThat(run.out()).contains("accepted as revision 5", "in force on 1 of 2 live members; missing: two");
		}

		@Test
		void reportsTheAcceptedRevisionWhenProgressIsUnknown() {
			ApplyCommandTests.this.daemon.addResponse(CHANGES, 200, ACCEPTED).addDroppedConnection(PROGRESS);
			CommandRun run = applyFile("--wait", "--timeout", "10ms");
			assertThat(run.exit()).isEqualTo(ExitCode.UNREACHABLE);
			assertThat(run.err()).contains("the change was accepted as revision 5");
		}

	}

}
