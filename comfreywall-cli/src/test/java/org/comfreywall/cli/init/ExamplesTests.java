package org.comfreywall.cli.init;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.comfreywall.cli.CommandRun;
import org.comfreywall.cli.command.ExitCode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the files in {@code examples} match the output of {@code init} for their
 * answers.
 */
class ExamplesTests {

	@TempDir
	private Path folder;

	@ParameterizedTest
	@ValueSource(strings = { "popelar", "plume" })
	void initGeneratesTheCommittedFiles(String name) throws IOException {
		Path example = Path.of("..", "examples", name);
		CommandRun run = CommandRun.of("init", "--out", this.folder.toString(), "--answers",
				example.resolve("answers.toml").toString());
		assertThat(run.exit()).describedAs(run.err()).isEqualTo(ExitCode.OK);
		Map<String, String> committed = texts(example);
		assertThat(committed).hasSizeGreaterThan(20);
		assertThat(texts(this.folder)).isEqualTo(committed);
	}

	private static Map<String, String> texts(Path root) throws IOException {
		Map<String, String> texts = new TreeMap<>();
		try (Stream<Path> files = Files.walk(root)) {
			for (Path file : files.filter(Files::isRegularFile).toList()) {
				texts.put(root.relativize(file).toString(), Files.readString(file));
			}
		}
		return texts;
	}

}
