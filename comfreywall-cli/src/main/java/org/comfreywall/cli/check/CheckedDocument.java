package org.comfreywall.cli.check;

import java.util.List;
import java.util.Optional;

import org.comfreywall.common.config.Configuration;
import org.comfreywall.common.settings.InstanceSettings;

/**
 * A document after its check.
 *
 * @param file the file's name
 * @param kind the kind of document
 * @param faults the faults, one line each
 * @param settings the settings, if the document is without fault and holds settings
 * @param configuration the configuration, if the document is without fault and holds one
 */
record CheckedDocument(String file, DocumentKind kind, List<String> faults, Optional<InstanceSettings> settings,
		Optional<Configuration> configuration) {

	CheckedDocument {
		faults = List.copyOf(faults);
	}

}
