package org.comfreywall.common.toml;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LiteralInput}.
 */
class LiteralInputTests {

	private static final KeyDescriptor<Long> COUNT = KeyDescriptor.required("count", ValueTypes.integer(1, 10), "x");

	private static final KeyDescriptor<Boolean> FLAG = KeyDescriptor.required("flag", ValueTypes.bool(), "x");

	private static final KeyDescriptor<List<String>> NAMES = KeyDescriptor.required("names",
			ValueTypes.listOf(ValueTypes.name(), 0, 3), "x");

	private static final KeyDescriptor<String> NAME = KeyDescriptor.required("name", ValueTypes.name(), "x");

	@Test
	void acceptsStringsWithoutQuotes() {
		assertThat(LiteralInput.literal(NAME, " north ")).contains("\"north\"");
	}

	@Test
	void acceptsOnlyNumbersInRange() {
		assertThat(LiteralInput.literal(COUNT, "7")).contains("7");
		assertThat(LiteralInput.literal(COUNT, "11")).isEmpty();
	}

	@Test
	void acceptsYesAndNo() {
		assertThat(LiteralInput.literal(FLAG, "yes")).contains("true");
		assertThat(LiteralInput.literal(FLAG, "n")).contains("false");
	}

	@Test
	void acceptsListsSeparatedByCommas() {
		assertThat(LiteralInput.literal(NAMES, "a, b")).contains("[\"a\", \"b\"]");
		assertThat(LiteralInput.literal(NAMES, "none")).contains("[]");
		assertThat(LiteralInput.literal(NAMES, "a, a")).isEmpty();
	}

	@Property(seed = "1", tries = 1000)
	void returnsOnlyLiteralsThatAreValidForTheKey(@ForAll String input) {
		LiteralInput.literal(NAMES, input)
			.ifPresent((literal) -> assertThat(LiteralInput.texts(literal)).hasSizeLessThanOrEqualTo(3));
	}

}
