package org.comfreywall.cli.init;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.comfreywall.common.result.ErrorCode;
import org.comfreywall.common.result.Result;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AnswersReader} and the operators' page with the keys of answers.
 */
class AnswersReaderTests {

	private static final String ANSWERS = """
			[[failure-domain]]
			name = "north"
			region = "home"
			[[service]]
			name = "chat"
			kind = "model"
			path-prefix = "/v1/chat/completions"
			[[instance]]
			name = "one"
			failure-domain = "north"
			address = "10.0.0.1"
			roles = ["entry", "control", "sidecar"]
			service = "chat"
			tls-folder = "/etc/comfreywall"
			""";

	@Test
	void documentationListsEveryKeyOfAnInstance() throws IOException {
		String page = Files.readString(Path.of("..", "docs", "operators", "cli.md"));
		assertThat(AnswersKeys.INSTANCE.keys()).allSatisfy((key) -> assertThat(page).contains("`" + key.name() + "`"));
	}

	@Property(seed = "1", tries = 2000)
	void corruptedAnswersGiveValidFilesOrAnError(@ForAll @IntRange(max = 400) int position, @ForAll char c,
			@ForAll @IntRange(max = 3) int removed) {
		int from = Math.min(position, ANSWERS.length());
		int to = Math.min(from + removed, ANSWERS.length());
		Result<Answers> answers = AnswersReader.parse("answers.toml",
				ANSWERS.substring(0, from) + c + ANSWERS.substring(to));
		answers.error().ifPresent((error) -> assertThat(error.code()).isEqualTo(ErrorCode.INVALID_INPUT));
		answers.value().ifPresent((value) -> assertThat(FleetGenerator.generate(value).error()).isEmpty());
	}

}
