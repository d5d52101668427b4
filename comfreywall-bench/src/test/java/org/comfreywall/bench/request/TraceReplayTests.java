package org.comfreywall.bench.request;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TraceReplay}, with the traces in the test resources.
 */
class TraceReplayTests {

	@ParameterizedTest
	@MethodSource("traces")
	void replaysToStatedOutcomes(Path trace) throws IOException {
		assertThat(new TraceReplay().replay(Files.readAllLines(trace))).isEmpty();
	}

	@Test
	void reportsOutcomeThatDiffersFromStatedOne() {
		List<String> trace = List.of("0 entry e1 0", "0 server s1 0", "100 send r1 lookup idempotent e1",
				"expect outcome r1 unknown");
		assertThat(new TraceReplay().replay(trace)).containsExactly("expect outcome r1 unknown but was completed");
	}

	static Stream<Path> traces() throws IOException, URISyntaxException {
		Path folder = Path.of(TraceReplayTests.class.getResource("/traces").toURI());
		try (Stream<Path> files = Files.list(folder)) {
			return files.filter((file) -> file.toString().endsWith(".trace")).sorted().toList().stream();
		}
	}

}
