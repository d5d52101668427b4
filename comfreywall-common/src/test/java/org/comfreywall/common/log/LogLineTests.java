package org.comfreywall.common.log;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.comfreywall.common.decision.Field;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LogLine}.
 */
class LogLineTests {

	@Test
	void quotesValuesWithSpacesAndEscapesControlCharacters() {
		LogLine line = new LogLine("Test", "done", new Field[] { Field.of("text", "a \"b\"\n") });
		assertThat(line).hasToString("event=done source=Test text=\"a \\\"b\\\"\\u000a\"");
	}

	@Property(seed = "1", tries = 300)
	void keepsEveryEventOnOneLine(@ForAll String value) {
		LogLine line = new LogLine("Test", "done", new Field[] { Field.of("text", value) });
		assertThat(line.toString()).doesNotContain("\n", "\r");
	}

}
