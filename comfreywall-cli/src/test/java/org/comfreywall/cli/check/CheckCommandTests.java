package org.comfreywall.cli.check;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.comfreywall.cli.CommandRun;
import org.comfreywall.cli.command.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link CheckCommand}.
 */
class CheckCommandTests {

	private static final String CONFIGURATION = """
			[[failure-domain]]
			name = "north"
			region = "home"
			[[service]]
			name = "chat"
			kind = "model"
			path-prefix = "/v1/chat/completions"
			""";

	private static final String SETTINGS = """
			name = "side-1"
			roles = ["sidecar"]
			failure-domain = "north"
			region = "home"
			[sidecar]
			listen = "10.0.0.2:7300"
			service = "chat"
			backend = "http://127.0.0.1:8000"
			control = ["10.0.0.1:7400"]
			""";

	@TempDir
	private Path folder;

	private String file(String name, String text) throws IOException {
		return Files.writeString(this.folder.resolve(name), text).toString();
	}

	@Test
	void acceptsConsistentDocuments() throws IOException {
		CommandRun run = CommandRun.of("check", file("c.toml", CONFIGURATION), file("s.toml", SETTINGS));
		assertThat(run.exit()).isEqualTo(ExitCode.OK);
		assertThat(run.out()).contains("c.toml: configuration, no fault", "s.toml: settings, no fault");
	}

	@Test
	void reportsRegionAndServiceMissingFromConfiguration() throws IOException {
		String settings = SETTINGS.replace("\"home\"", "\"away\"").replace("\"chat\"", "\"chess\"");
		CommandRun run = CommandRun.of("check", file("c.toml", CONFIGURATION), file("s.toml", settings));
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.out()).contains("region = \"away\"; allowed: \"home\"", "sidecar.service = \"chess\"",
				"next: correct");
	}

	@Test
	void reportsDuplicateInstanceNames() throws IOException {
		CommandRun run = CommandRun.of("check", file("a.toml", SETTINGS), file("b.toml", SETTINGS));
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.out()).contains("b.toml: name = \"side-1\"");
	}

	@Test
	void reportsControlAddressMissingFromPeers() throws IOException {
		String control = """
				name = "one"
				roles = ["control"]
				failure-domain = "north"
				region = "home"
				[control]
				listen = "10.0.0.9:7400"
				data-folder = "data"
				[[control.peer]]
				name = "one"
				address = "10.0.0.9:7400"
				""";
		CommandRun run = CommandRun.of("check", file("a.toml", control), file("s.toml", SETTINGS));
		assertThat(run.out()).contains("s.toml: control = \"10.0.0.1:7400\"");
	}

	@Test
	void reportsFaultsAsJson() throws IOException {
		CommandRun run = CommandRun.of("check", "--json", file("s.toml", SETTINGS.replace("\"sidecar\"", "\"side\"")));
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.json().getJsonArray("files").getJsonObject(0).getJsonArray("faults")).hasSize(1);
	}

	@Test
	void reportsFilesThatAreNotText() throws IOException {
		Path file = Files.write(this.folder.resolve("s.toml"), new byte[] { (byte) 0xff, (byte) 0xfe, 0 });
		CommandRun run = CommandRun.of("check", file.toString());
		assertThat(run.exit()).isEqualTo(ExitCode.FAILED);
		assertThat(run.out()).contains("cannot be read as UTF-8 text");
	}

}
