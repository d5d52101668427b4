package org.comfreywall.cli;

import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.command.ExitCode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the commands that call a daemon's admin API, against a fake of that API.
 */
class AdminCommandTests {

	private final FakeAdminServer daemon = new FakeAdminServer();

	@TempDir
	private Path folder;

	@AfterEach
	void stopDaemon() {
		this.daemon.close();
	}

	private CommandRun run(String... args) {
		String[] all = new String[args.length + 2];
		System.arraycopy(args, 0, all, 0, args.length);
		all[args.length] = "--admin";
		all[args.length + 1] = this.daemon.url();
		return CommandRun.of(all);
	}

	@Test
	void statusPrintsTheResponseAsTree() {
		this.daemon.addResponse("GET /v1/status", 200,
				"{\"revision\":3,\"members\":[{\"name\":\"one\"}],\"roles\":[\"entry\"]}");
		CommandRun run = run("status");
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("revision: 3", "members:", "    name: one", "roles: entry");
	}

	@Test
	void statusPrintsTheResponseAsJson() {
		this.daemon.addResponse("GET /v1/status", 200, "{\"revision\":3}");
		assertThat(run("status", "--json").json()).isEqualTo(new JsonObject().put("revision", 3).put("exitCode", 0));
	}

	@Test
	void reportRequestsTheGroup() {
		this.daemon.addResponse("GET /v1/status/groups/chat%201", 200, "{\"skew\":1.2}");
		assertThat(run("report", "chat 1").out()).contains("skew: 1.2");
	}

	@Test
	void getPrintsRevisionAndConfiguration() {
		this.daemon.addResponse("GET /v1/configuration", 200, "{\"revision\":7,\"configuration\":\"x = 1\\n\"}");
		assertThat(run("get").out()).isEqualTo(String.format("# revision 7%nx = 1%n"));
	}

	@Test
	void getWritesFile() throws Exception {
		this.daemon.addResponse("GET /v1/configuration", 200, "{\"revision\":7,\"configuration\":\"x = 1\\n\"}");
		Path file = this.folder.resolve("present.toml");
		assertThat(run("get", "--output", file.toString()).exit()).isEqualTo(ExitCode.OK);
		assertThat(file).hasContent("x = 1");
		assertThat(Files.list(this.folder)).hasSize(1);
	}

	@Test
	void drainSendsTheNameOfTheBackendServer() {
		this.daemon.addResponse("POST /v1/drain", 202, "");
		CommandRun run = run("drain", "chat-1");
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(this.daemon.bodies()).containsExactly(new JsonObject().put("backendServer", "chat-1"));
	}

	@Test
	void drainReportsTheErrorOfTheDaemon() {
		this.daemon.addResponse("POST /v1/drain", 404,
				"{\"error\":{\"code\":\"NOT_FOUND\",\"step\":\"MEMBERSHIP\",\"peer\":\"one\",\"message\":\"no such server\"}}");
		CommandRun run = run("drain", "chat-9");
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.err()).contains("error: no such server", "not-found at step membership at one", "next: ");
	}

	@Test
	void explainPrintsDecisionsWithInputs() {
		this.daemon.addResponse("GET /v1/decisions?subject=r1", 200,
				"{\"records\":[{\"kind\":\"ROUTE\",\"subject\":\"r1\",\"result\":\"chat-1\","
						+ "\"inputs\":[{\"key\":\"queue-ms\",\"value\":\"12\"}]}]}");
		assertThat(run("explain", "r1").out()).contains("ROUTE: chat-1", "  queue-ms = 12");
	}

	@Test
	void explainNamesTheDaemonToQueryWhenNoDecisionIsRecorded() {
		this.daemon.addResponse("GET /v1/decisions?subject=r1", 200, "{\"records\":[]}");
		CommandRun run = run("explain", "r1");
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.err()).contains("query the entry that received the request");
	}

	@Test
	void historyListsChanges() {
		this.daemon.addResponse("GET /v1/history?limit=5", 200,
				"{\"changes\":[{\"revision\":2,\"changeId\":\"c2\",\"author\":\"ana\",\"reason\":\"more\",\"time\":\"t\"}]}");
		assertThat(run("history", "--limit", "5").out()).contains("revision 2  t  ana  c2  more");
	}

	@Test
	void errorsWithoutErrorObjectReportTheHttpStatus() {
		this.daemon.addResponse("GET /v1/status", 503, "busy");
		CommandRun run = run("status");
		assertThat(run.exit()).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(run.err()).contains("HTTP status 503");
	}

	@Test
	void responsesOfAnUnexpectedFormatAreMalformed() {
		this.daemon.addResponse("GET /v1/history?limit=20", 200, "{\"changes\":[7]}");
		CommandRun run = run("history");
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.err()).contains("malformed at step send").doesNotContain("Exception");
	}

}
