package org.comfreywall.common.toml;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LiteralConverter}.
 */
class LiteralConverterTests {

	private static final KeyDescriptor<Long> COUNT = KeyDescriptor.required("count", ValueTypes.integer(1, 10), "x");

	private static final KeyDescriptor<Boolean> FLAG = KeyDescriptor.required("flag", ValueTypes.bool(), "x");

	private static final KeyDescriptor<List<String>> NAMES = KeyDescriptor.required("names",
			ValueTypes.listOf(ValueTypes.name(), 0, 3), "x");

	private static final KeyDescriptor<String> NAME = KeyDescriptor.required("name", ValueTypes.name(), "x");

	@Test
	void acceptsStringsWithoutQuotes() {
		assertThat(LiteralConverter.toLiteral(NAME, " north ")).contains("\"north\"");
	}

	@Test
	void acceptsOnlyNumbersInRange() {
		assertThat(LiteralConverter.toLiteral(COUNT, "7")).contains("7");
		assertThat(LiteralConverter.toLiteral(COUNT, "11")).isEmpty();
	}

	@Test
	void acceptsYesAndNo() {
		assertThat(LiteralConverter.toLiteral(FLAG, "yes")).contains("true");
		assertThat(LiteralConverter.toLiteral(FLAG, "n")).contains("false");
	}

	@Test
	void acceptsListsSeparatedByCommas() {
		assertThat(LiteralConverter.toLiteral(NAMES, "a, b")).contains("[\"a\", \"b\"]");
		assertThat(LiteralConverter.toLiteral(NAMES, "none")).contains("[]");
		assertThat(LiteralConverter.toLiteral(NAMES, "a, a")).isEmpty();
	}

	@Property(seed = "1", tries = 1000)
	void returnsOnlyLiteralsThatAreValidForTheKey(@ForAll String input) {
		LiteralConverter.toLiteral(NAMES, input)
			.ifPresent((literal) -> assertThat(LiteralConverter.parseStrings(literal)).hasSizeLessThanOrEqualTo(3));
	}

}
