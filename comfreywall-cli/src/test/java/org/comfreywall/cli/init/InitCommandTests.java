package org.comfreywall.cli.init;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.json.JsonObject;
import org.comfreywall.cli.CommandRun;
import org.comfreywall.cli.command.ExitCode;
import org.comfreywall.common.util.Bytes;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link InitCommand} with an answers file.
 */
class InitCommandTests {

	private static final String ANSWERS = """
			[[failure-domain]]
			name = "north"
			region = "home"
			[[service]]
			name = "chat"
			kind = "model"
			path-prefix = "/v1/chat/completions"
			[[client-account]]
			name = "desk"
			requests-per-second = 50
			tokens-per-second = 20000
			in-flight = 100
			services = ["chat"]
			[[instance]]
			name = "one"
			failure-domain = "north"
			address = "10.0.0.1"
			roles = ["entry", "control"]
			tls-folder = "/etc/comfreywall"
			[[instance]]
			name = "two"
			failure-domain = "north"
			address = "10.0.0.2"
			roles = ["sidecar"]
			service = "chat"
			engine-checks-fencing = true
			""";

	@TempDir
	private Path folder;

	private Path out;

	@BeforeEach
	void prepare() {
		this.out = this.folder.resolve("fleet");
	}

	private CommandRun init(String answers, String... options) throws IOException {
		Path file = Files.writeString(this.folder.resolve("given.toml"), answers);
		String[] args = new String[options.length + 5];
		args[0] = "init";
		args[1] = "--out";
		args[2] = this.out.toString();
		args[3] = "--answers";
		args[4] = file.toString();
		System.arraycopy(options, 0, args, 5, options.length);
		return CommandRun.of(args);
	}

	@Test
	void generatesFilesThatPassCheck() throws IOException {
		assertThat(init(ANSWERS).exit()).isEqualTo(ExitCode.OK);
		CommandRun check = CommandRun.of("check", this.out.resolve("answers.toml").toString(),
				this.out.resolve("configuration.toml").toString(), this.out.resolve("settings/one.toml").toString(),
				this.out.resolve("settings/two.toml").toString());
		assertThat(check.exit()).describedAs(check.out()).isEqualTo(ExitCode.OK);
		assertThat(this.out.resolve("settings/two.toml")).content()
			.contains("engine-checks-fencing = true", "control = [\"10.0.0.1:7400\"]");
		assertThat(this.out.resolve("settings/one.toml")).content().contains("key = \"/etc/comfreywall/key.pem\"");
	}

	@Test
	void showsAGeneratedKeyOnceAndStoresItsHash() throws IOException {
		JsonObject key = init(ANSWERS, "--json").json().getJsonArray("keys").getJsonObject(0);
		assertThat(key.getString("account")).isEqualTo("desk");
		assertThat(this.out.resolve("configuration.toml")).content()
			.contains(Bytes.ofText(key.getString("key")).sha256())
			.doesNotContain(key.getString("key"));
		CommandRun again = init(Files.readString(this.out.resolve("answers.toml")), "--json");
		assertThat(again.json().getJsonArray("keys")).isEmpty();
	}

	@Test
	void generatesDifferentKeys() throws IOException {
		String first = init(ANSWERS, "--json").json().getJsonArray("keys").getJsonObject(0).getString("key");
		String second = init(ANSWERS, "--json").json().getJsonArray("keys").getJsonObject(0).getString("key");
		assertThat(second).isNotEqualTo(first).hasSize(first.length());
	}

	@Nested
	class RepeatedRuns {

		@Test
		void showChangesFromTheCurrentConfiguration() throws IOException {
			init(ANSWERS);
			String answers = Files.readString(InitCommandTests.this.out.resolve("answers.toml"));
			CommandRun run = init(answers.replace("in-flight = 100", "in-flight = 200"));
			assertThat(run.out()).contains("~ client-account desk", "in-flight: 100 -> 200").doesNotContain("API key");
		}

		@Test
		void reportSettingsFilesThatAreNoLongerGenerated() throws IOException {
			init(ANSWERS);
			CommandRun run = init(ANSWERS.substring(0, ANSWERS.lastIndexOf("[[instance]]")));
			assertThat(run.out()).contains("no longer generated: settings/two.toml");
		}

		@Test
		void showChangesFromAnotherFile() throws IOException {
			Path empty = Files.writeString(InitCommandTests.this.folder.resolve("empty.toml"), "");
			init(ANSWERS);
			assertThat(init(ANSWERS, "--against", empty.toString()).out()).contains("+ service chat");
		}

	}

	@Nested
	class InvalidAnswers {

		private void assertRejected(String answers, String fault) throws IOException {
			CommandRun run = init(answers);
			assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
			assertThat(run.err()).contains(fault);
			assertThat(InitCommandTests.this.out).doesNotExist();
		}

		@Test
		void includeFleetsWithoutControlInstances() throws IOException {
			assertRejected(ANSWERS.replace(", \"control\"", ""), "instance = (0 with the role control)");
		}

		@Test
		void includeSidecarsWithoutService() throws IOException {
			assertRejected(ANSWERS.replace("service = \"chat\"\nengine", "engine"), "instance[1].service");
		}

		@Test
		void includeUnknownFailureDomains() throws IOException {
			assertRejected(
					ANSWERS.replace("failure-domain = \"north\"\naddress = \"10.0.0.2\"",
							"failure-domain = \"west\"\naddress = \"10.0.0.2\""),
					"instance[1].failure-domain = \"west\"");
		}

		@Test
		void includeMalformedAddresses() throws IOException {
			assertRejected(ANSWERS.replace("10.0.0.2", "10.0.0.299"), "instance[1].address");
		}

		@Test
		void includePortsUsedTwice() throws IOException {
			assertRejected(ANSWERS.replace("address = \"10.0.0.2\"", "address = \"10.0.0.1\"\nsidecar-port = 8080"),
					"instance[1].sidecar-port");
		}

	}

}
