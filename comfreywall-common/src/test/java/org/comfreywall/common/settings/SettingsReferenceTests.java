package org.comfreywall.common.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.comfreywall.common.config.toml.ConfigurationKeys;
import org.comfreywall.common.toml.ReferenceWriter;
import org.comfreywall.common.toml.TableDescriptor;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the operators' reference page lists exactly the keys that the readers
 * accept.
 */
class SettingsReferenceTests {

	private static final Path PAGE = Path.of("..", "docs", "operators", "settings.md");

	@Test
	void pageListsSettings() throws IOException {
		assertThat(section("settings")).isEqualTo(reference(SettingsKeys.DOCUMENT));
	}

	@Test
	void pageListsConfiguration() throws IOException {
		assertThat(section("configuration")).isEqualTo(reference(ConfigurationKeys.DOCUMENT));
	}

	private static String reference(TableDescriptor document) {
		return ReferenceWriter.write(document).strip();
	}

	private static String section(String name) throws IOException {
		String page = Files.readString(PAGE);
		String start = "<!-- " + name + " -->";
		String end = "<!-- end of " + name + " -->";
		assertThat(page).contains(start, end);
		return page.substring(page.indexOf(start) + start.length(), page.indexOf(end)).strip();
	}

}
