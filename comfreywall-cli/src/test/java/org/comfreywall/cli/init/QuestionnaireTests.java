package org.comfreywall.cli.init;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.comfreywall.cli.CommandRun;
import org.comfreywall.cli.command.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Questionnaire} through the command line.
 */
class QuestionnaireTests {

	private static final List<String> DOMAINS = List.of("north, south", "home", "");

	private static final List<String> SERVICES = List.of("chat, booking", "model", "/v1/chat/completions", "none", "no",
			"plain", "/booking", "GET /booking/schedule", "yes");

	private static final List<String> ACCOUNTS = List.of("desk", "50", "20000", "100", "interactive", "chat, booking");

	private static final List<String> GROUPS = List.of("chat-1", "chat", "8", "64", "24", "10", "8", "1", "yes");

	private static final List<String> INSTANCES = List.of("one, two", "north", "10.0.0.1", "entry, control", "", "", "",
			"", "", "south", "10.0.0.2", "sidecar", "", "", "booking", "", "", "no", "");

	@TempDir
	private Path folder;

	private CommandRun answer(List<String> lines) {
		return CommandRun.withInput(String.join("\n", lines) + "\n", "init", "--out", this.folder.toString());
	}

	private static List<String> lines(List<List<String>> sections) {
		return sections.stream().flatMap(List::stream).toList();
	}

	private Answers answers() {
		return AnswersReader.read(this.folder.resolve("answers.toml")).value().orElseThrow();
	}

	@Test
	void asksForEverySection() {
		CommandRun run = answer(lines(List.of(DOMAINS, SERVICES, ACCOUNTS, GROUPS, INSTANCES)));
		assertThat(run.exit()).describedAs(run.err()).isEqualTo(ExitCode.OK);
		assertThat(answers().configuration().failureDomains()).extracting((domain) -> domain.region())
			.containsExactly("home", "home");
		assertThat(answers().configuration().groups().get(0).weights().skewWeight()).isEqualTo(8);
		assertThat(answers().instances()).extracting(InstanceAnswers::name).containsExactly("one", "two");
	}

	@Test
	void proposesEarlierAnswers() throws IOException {
		answer(lines(List.of(DOMAINS, SERVICES, ACCOUNTS, GROUPS, INSTANCES)));
		String before = Files.readString(this.folder.resolve("answers.toml"));
		CommandRun run = answer(
				lines(List.of(DOMAINS, SERVICES, ACCOUNTS, GROUPS, INSTANCES)).stream().map((line) -> "").toList());
		assertThat(run.exit()).describedAs(run.err()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("the configuration is unchanged");
		assertThat(this.folder.resolve("answers.toml")).hasContent(before);
	}

	@Test
	void asksAgainAfterAnInvalidAnswer() {
		List<String> accounts = List.of("desk", "many", "50", "20000", "100", "interactive", "chat");
		CommandRun run = answer(lines(List.of(DOMAINS, SERVICES, accounts, GROUPS, INSTANCES)));
		assertThat(run.exit()).describedAs(run.err()).isEqualTo(ExitCode.OK);
		assertThat(run.err()).contains("not allowed; allowed: 1 to 1000000000");
	}

	@Test
	void writesNothingWhenTheInputEnds() {
		CommandRun run = answer(DOMAINS);
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.err()).contains("nothing was written");
		assertThat(this.folder).isEmptyDirectory();
	}

	@Test
	void savesAnswersWithUnresolvedReferences() {
		List<String> accounts = List.of("desk", "50", "20000", "100", "interactive", "chess");
		CommandRun run = answer(lines(List.of(DOMAINS, SERVICES, accounts, GROUPS, INSTANCES)));
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.err()).contains("client-account[0].services = \"chess\"", "answers.rejected.toml");
		assertThat(this.folder.resolve("answers.rejected.toml")).content().contains("chess");
	}

}
