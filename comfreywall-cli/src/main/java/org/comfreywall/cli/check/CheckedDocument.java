package org.comfreywall.cli.check;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.settings.InstanceSettings;

/**
 * Validation result of one document.
 *
 * @param file the path as given on the command line
 * @param kind the detected kind; a configuration if the file cannot be read
 * @param faults the error messages, one line each; empty if the document is valid
 * @param settings the settings, if the document holds valid settings
 * @param configuration the configuration, if the document holds a valid configuration or
 * valid answers
 */
record CheckedDocument(String file, DocumentKind kind, List<String> faults, Optional<InstanceSettings> settings,
		Optional<Configuration> configuration) {

	CheckedDocument {
		faults = List.copyOf(faults);
	}

}
