package org.comfreywall.cli.admin;

import io.vertx.core.json.JsonObject;

/**
 * A configuration together with its revision.
 *
 * @param revision the revision of the configuration
 * @param configuration the configuration in TOML
 */
public record VersionedConfiguration(long revision, String configuration) {

	static VersionedConfiguration from(JsonObject body) {
		return new VersionedConfiguration(JsonValues.requiredLong(body, "revision"),
				JsonValues.requiredString(body, "configuration"));
	}

}
