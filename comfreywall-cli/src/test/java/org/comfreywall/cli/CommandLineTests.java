package org.comfreywall.cli;

import org.comfreywall.cli.command.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CommandLine}.
 */
class CommandLineTests {

	@Test
	void helpListsEveryCommandAndExitCode() {
		CommandRun run = CommandRun.of("--help");
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(run.out())
			.contains("init", "check", "apply", "get", "status", "report", "drain", "explain", "history")
			.contains("0 success", "1 rejected", "2 invalid", "3 daemon", "4 another");
	}

	@ParameterizedTest
	@ValueSource(strings = { "init", "check", "apply", "get", "status", "report", "drain", "explain", "history" })
	void everyCommandHasHelp(String command) {
		CommandRun run = CommandRun.of(command, "--help");
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("Usage: " + command, "--json", "Exit codes");
	}

	@Test
	void suggestsTheNearestCommand() {
		CommandRun run = CommandRun.of("aply");
		assertThat(run.exit()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains("did you mean \"apply\"?", "next: see comfreywall --help");
	}

	@Test
	void rejectsMisspeltOptionInPlaceOfAnArgument() {
		CommandRun run = CommandRun.of("drain", "--jsno");
		assertThat(run.exit()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains("did you mean \"--json\"?", "next: see comfreywall drain --help");
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "apply", "apply x --rollback-to 1", "apply x --timeout 2sec", "check", "init", "drain",
			"history --limit 0", "status --admin nowhere", "status surplus", "drain one two",
			"status --trust no-such-file.pem", "status --admin http://127.0.0.1:99999", "status --key k.pem",
			"apply x --author", "apply x --expected-revision -1" })
	void rejectsInvalidCommandLinesWithNextStep(String line) {
		CommandRun run = CommandRun.of(line.isEmpty() ? new String[0] : line.split(" "));
		assertThat(run.exit()).isEqualTo(ExitCode.USAGE);
		assertThat(run.err()).contains("error: ", "next: see comfreywall");
	}

	@Test
	void reportsUnreachableDaemon() {
		CommandRun run = CommandRun.of("status", "--admin", "http://127.0.0.1:1");
		assertThat(run.exit()).isEqualTo(ExitCode.UNREACHABLE);
		assertThat(run.err()).contains("unavailable at step send at http://127.0.0.1:1",
				"next: check that the daemon is running");
	}

	@Test
	void reportsErrorsAsJson() {
		CommandRun run = CommandRun.of("status", "--json", "--admin", "http://127.0.0.1:1");
		assertThat(run.json().getInteger("exitCode")).isEqualTo(3);
		assertThat(run.json().getJsonObject("error").getString("code")).isEqualTo("UNAVAILABLE");
	}

}
