package org.comfreywall.cli.admin;

import io.vertx.core.json.JsonObject;

/**
 * A configuration together with its revision.
 *
 * @param revision the revision of the configuration
 * @param configuration the configuration in TOML
 */
public record RevisedConfiguration(long revision, String configuration) {

	static RevisedConfiguration from(JsonObject body) {
		return new RevisedConfiguration(JsonValues.requiredLong(body, "revision"),
				JsonValues.requiredString(body, "configuration"));
	}

}
